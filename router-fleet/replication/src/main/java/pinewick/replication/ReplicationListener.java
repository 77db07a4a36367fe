package pinewick.replication;

import pinewick.model.ConfigurationDocument;

/** Notified of events of the replication, on the control loop. */
public interface ReplicationListener {
    /** A configuration is known to be committed. May be called more than once for the same version. */
    void onCommitted(ConfigurationDocument document);

    /** An event to be found in the log of the process, for example a change of primary. */
    default void onEvent(String event) {}
}
