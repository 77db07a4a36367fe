package pinewick.registry;

import java.util.List;

/**
 * The changes of one update of the view, to be applied as a unit.
 *
 * @param revision the view's revision after the update
 * @param full whether the view was rebuilt from one revision; searchers missing from it are among the changed
 * @param changed the searchers that differ; removed ones have the state {@code GONE}
 * @param invalidValues a message for each value that cannot be parsed
 * @param removedCount number of removed searchers
 * @param massRemoval whether so many searchers were removed at once that the registry itself may be at fault
 * @param events the key changes of the update in the order received; empty for a full one
 */
public record ViewUpdate(
        long revision,
        boolean full,
        List<SearcherRecord> changed,
        List<String> invalidValues,
        int removedCount,
        boolean massRemoval,
        List<KeyValue> events) {}
