package pinewick.dataplane;

import pinewick.dissemination.Confirmation;

/** Whether and when this router's configuration was confirmed to be the fleet's. May be used on any thread. */
interface ConfigurationStatus {
    /**
     * Whether a quorum has confirmed the configuration since this router's start. If so, a route that is missing from
     * it does not exist.
     */
    boolean isConfirmedSinceStart();

    /** The latest time at which a version is known for certain to have been the newest one. */
    Confirmation lastConfirmation();
}
