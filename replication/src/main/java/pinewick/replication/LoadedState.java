package pinewick.replication;

import java.util.Optional;

/**
 * What was found on a disk.
 *
 * @param stored what an earlier process wrote, empty if there is nothing that can be read
 * @param damaged whether there was something that could not be read: such a store is nobody's founder
 */
public record LoadedState(Optional<StoredState> stored, boolean damaged) {
    /** A disk that was never written to. */
    public static final LoadedState EMPTY = new LoadedState(Optional.empty(), false);
}
