/**
 * Disseminates the configuration and the replica records to every process of the fleet by gossip.
 * {@link pinewick.dissemination.FleetNode} is the entry point, {@link pinewick.dissemination.FleetState} holds the
 * data. {@link pinewick.dissemination.ConfigurationGossip} and {@link pinewick.dissemination.ReplicaGossip} push
 * updates, {@link pinewick.dissemination.ReplicaReconciliation} repairs missed updates by anti-entropy,
 * {@link pinewick.dissemination.Bootstrap} brings a new process up to date. No I/O: the caller passes in time,
 * randomness and messages.
 */
package pinewick.dissemination;
