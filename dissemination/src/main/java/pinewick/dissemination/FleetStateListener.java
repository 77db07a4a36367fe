package pinewick.dissemination;

import pinewick.model.ConfigurationDocument;
import pinewick.model.ReplicaRecord;

/** Told of changes of {@link FleetState}, on the thread that made them. */
public interface FleetStateListener {
    /** A newer configuration is in force here. */
    default void configurationChanged(ConfigurationDocument document) {}

    /** What is known of a replica has changed. */
    default void replicaChanged(ReplicaRecord record) {}
}
