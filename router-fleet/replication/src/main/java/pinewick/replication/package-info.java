/**
 * Primary-backup replication of the configuration, with witnesses that store epoch records and decide failover: a state
 * machine without I/O. Time and randomness are handed in; writes to disk are requested, and their completion is an
 * event.
 *
 * <p>{@link pinewick.replication.ReplicationNode} is the entrance. On every controller run
 * {@link pinewick.replication.Witness} (promises and accepts epoch records), {@link pinewick.replication.Election}
 * (when to stand for election) and {@link pinewick.replication.DurableState} (the only owner of what is on disk). A
 * primary runs {@link pinewick.replication.PrimaryRole} with one {@link pinewick.replication.PrimaryEpoch} at a time, a
 * follower {@link pinewick.replication.StateReceiver}. A new epoch is proposed by
 * {@link pinewick.replication.EpochProposer} with the record that {@link pinewick.replication.EpochPlanner} builds.
 *
 * <p>Everything is called by the control loop alone. docs/control-safety.md gives the argument and the model of it.
 */
package pinewick.replication;
