package pinewick.membership;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws random elements without replacement. */
public final class RandomChoice {
    private RandomChoice() {}

    /** Draws up to {@code count} elements, each at most once; reorders {@code from}. */
    public static <T> List<T> draw(List<T> from, int count, RandomGenerator random) {
        int drawn = Math.min(count, from.size());
        for (int i = 0; i < drawn; i++) {
            Collections.swap(from, i, i + random.nextInt(from.size() - i));
        }
        return List.copyOf(from.subList(0, drawn));
    }
}
