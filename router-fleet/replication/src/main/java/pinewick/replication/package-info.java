/**
 * Primary-backup replication of the fleet's configuration between controllers, with witnesses that store epoch records
 * and decide failover. The code is a state machine without I/O: the caller passes in the time and a random generator,
 * and a write to disk is requested and reports its completion as an event.
 *
 * <p>Terms:
 *
 * <ul>
 *   <li><em>store</em>: what one controller keeps on its disk. Its identity survives a restart of the process, but not
 *       the loss of the disk.
 *   <li><em>epoch</em>: a period with one primary, one set of members and one set of in-sync stores, as written in its
 *       {@link pinewick.replication.EpochRecord}. Members and in-sync stores change only by a new epoch; a primary that
 *       changes them proposes an epoch that it leads again.
 *   <li><em>member</em>: a store whose vote counts towards a quorum.
 *   <li><em>in-sync store</em>: a store that must have a change on disk before the change is acknowledged.
 *   <li><em>observer</em>: a store that is no member, but has contact with the primary and may be admitted.
 *   <li><em>follower</em>: any other store that the primary knows, a member or an observer.
 *   <li><em>established</em> epoch: one whose in-sync stores all have the state from which it starts. Only then does
 *       its primary replicate changes.
 *   <li><em>committed</em> state: one that every in-sync store has on disk.
 * </ul>
 *
 * <p>{@link pinewick.replication.ReplicationNode} is the entry point. Every controller runs {@link
 * pinewick.replication.Witness} (promises and accepts epoch records), {@link pinewick.replication.Election} (the
 * election timer) and {@link pinewick.replication.DurableState} (the only owner of what is on disk). A primary runs
 * {@link pinewick.replication.PrimaryRole} with one {@link pinewick.replication.PrimaryEpoch} at a time, a follower
 * {@link pinewick.replication.StateReceiver}. A new epoch is proposed by {@link pinewick.replication.EpochProposer}
 * with the record that {@link pinewick.replication.EpochPlanner} builds. {@link
 * pinewick.replication.ReplicationMessages} lists the messages of each step.
 *
 * <p>Everything is called by the control loop alone. docs/control-safety.md has the safety argument and its model.
 */
package pinewick.replication;
