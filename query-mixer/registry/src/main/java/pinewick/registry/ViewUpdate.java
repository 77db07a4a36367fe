package pinewick.registry;

import java.util.List;

/**
 * What one piece of news changes, to be taken as a whole: the searchers that differ (those that left are
 * {@code GONE}), and the values that can't be read.
 *
 * @param whole the view was read anew from one revision; searchers that it lacks are among the changed
 * @param vanished how many searchers left
 * @param events the keys' changes behind it, as they came; of a whole view none
 * @param mass so many left at once that the registry itself may be at fault
 */
public record ViewUpdate(
        long revision,
        boolean whole,
        List<SearcherRecord> changed,
        List<String> wrong,
        int vanished,
        boolean mass,
        List<KeyValue> events) {}
