/**
 * The durable store of a controller, on Xodus. {@link pinewick.storage.XodusStore} implements the replication module's
 * {@code StableStore} with its own thread. {@link pinewick.storage.XodusDatabase} defines the layout, and
 * {@link pinewick.storage.StoredFormat} the encoding, which must remain compatible between releases.
 * {@link pinewick.storage.TornWriteRepair} and {@link pinewick.storage.WriteChecksum} detect data that was corrupted
 * by a power failure or a disk fault.
 */
package pinewick.storage;
