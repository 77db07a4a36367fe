/**
 * What every process of the fleet should know, the configuration and the replica records, and how it reaches them by
 * gossip: {@link pinewick.dissemination.FleetNode} is the entrance, {@link pinewick.dissemination.FleetState} the
 * knowledge. {@link pinewick.dissemination.ConfigurationGossip} and {@link pinewick.dissemination.ReplicaGossip} push
 * what is new, {@link pinewick.dissemination.ReplicaReconciliation} repairs what was missed,
 * {@link pinewick.dissemination.Bootstrap} brings a new process up to date. No I/O: time, randomness and messages are
 * handed in.
 */
package pinewick.dissemination;
