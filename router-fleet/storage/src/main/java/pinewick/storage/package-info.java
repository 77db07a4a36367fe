/**
 * The disk of a controller, on Xodus: {@link pinewick.storage.XodusStore} implements {@code StableStore} of replication
 * with a thread of its own, {@link pinewick.storage.XodusDatabase} is the layout and
 * {@link pinewick.storage.StoredFormat} the bytes, which releases must keep. {@link pinewick.storage.TornWriteRepair}
 * and {@link pinewick.storage.WriteChecksum} find what a power failure or a fault of the disk has spoilt.
 */
package pinewick.storage;
