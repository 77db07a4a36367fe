/** Keeps what replication must not lose, on Xodus. */
package pinewick.storage;
