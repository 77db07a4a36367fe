/**
 * Primary-backup replication of the configuration, with witnesses that store epochs and decide failover: a state
 * machine without I/O. Time and chance are handed in, writes to disk are asked for and their completion is an event.
 */
package pinewick.replication;
