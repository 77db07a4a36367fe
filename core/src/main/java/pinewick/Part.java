package pinewick;

import java.util.ArrayList;
import java.util.List;

/** One part of a query, with its launches in the order in which they were made. */
final class Part<Q, S> {
    final Q query;
    final String id;
    final int shard;
    final double weight;
    final List<Launch<S>> launches = new ArrayList<>();
    int out;
    boolean done;
    /** No launch of it is left. */
    boolean spent;

    Part(Q query, String id, int shard, double weight) {
        this.query = query;
        this.id = id;
        this.shard = shard;
        this.weight = weight;
    }

    boolean waitsAt(S searcher) {
        for (Launch<S> each : launches) {
            if (each.searcher == searcher && !each.over) {
                return true;
            }
        }
        return false;
    }

    /** Null where there was no such launch. */
    Launch<S> launch(int number) {
        return number >= 0 && number < launches.size() ? launches.get(number) : null;
    }

    Launch<S> latest() {
        return launches.get(launches.size() - 1);
    }
}
