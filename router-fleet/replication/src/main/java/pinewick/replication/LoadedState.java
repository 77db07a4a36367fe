package pinewick.replication;

import java.util.Optional;

/**
 * What {@link StableStore#load} found on the disk.
 *
 * @param stored what an earlier incarnation of the process wrote, empty if nothing can be read
 * @param damaged whether something could not be read; the process must not found a new system then
 */
public record LoadedState(Optional<StoredState> stored, boolean damaged) {
    /** A disk that was never written to. */
    public static final LoadedState EMPTY = new LoadedState(Optional.empty(), false);
}
