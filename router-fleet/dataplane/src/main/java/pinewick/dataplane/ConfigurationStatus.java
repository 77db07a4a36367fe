package pinewick.dataplane;

import pinewick.dissemination.Confirmation;

/** How well this router knows the fleet's configuration. Any thread. */
interface ConfigurationStatus {
    /** Whether a quorum has confirmed the configuration since this router's start, so that a missing route is gone. */
    boolean isConfirmedSinceStart();

    /** The last time at which a version is strictly known to have been the newest. */
    Confirmation lastConfirmation();
}
