package pinewick.replication;

import java.util.Optional;
import pinewick.model.ConfigurationDocument;
import pinewick.model.SocketAddress;

/** Outcome of a linearizable read of the configuration. */
public sealed interface ReadOutcome {
    /** The newest acknowledged configuration, confirmed after the read was submitted. */
    record Current(ConfigurationDocument document) implements ReadOutcome {}

    /** This process is not the primary. The address is that of the primary's operator API, empty if it is unknown. */
    record NotPrimary(Optional<SocketAddress> primary) implements ReadOutcome {}

    /** No quorum confirmed the epoch in time. */
    record Unavailable(String reason) implements ReadOutcome {}
}
