package pinewick.replication;

import java.util.List;
import java.util.Optional;
import pinewick.model.ConfigurationFault;
import pinewick.model.SocketAddress;

/** Outcome of a submitted change. */
public sealed interface ChangeOutcome {
    /**
     * The change is durable and in force, by this submission or an earlier one of the same change; {@code version} is
     * the configuration version that it led to.
     */
    record Accepted(long version) implements ChangeOutcome {}

    /** The change is based on a version that is not the current one. It is not in force and never will be. */
    record VersionConflict(long currentVersion) implements ChangeOutcome {}

    /** The change does not lead to a valid configuration. It is not in force and never will be. */
    record Invalid(List<ConfigurationFault> faults) implements ChangeOutcome {}

    /**
     * This process is not the primary, and nothing was done. The address is that of the primary's operator API, empty
     * if it is unknown.
     */
    record NotPrimary(Optional<SocketAddress> primary) implements ChangeOutcome {}

    /** The outcome is unknown: the change may or may not come into force. The operator should submit it again. */
    record Unknown(String reason) implements ChangeOutcome {}
}
