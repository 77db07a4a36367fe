package pinewick.core;

import java.util.ArrayList;
import java.util.List;

/** One part of a query, with its launches in the order in which they were made. */
final class ShardRequest {
    final Query query;
    final String id;
    final int shard;
    /** The first of the cells that hold its shard. */
    final int firstCell;

    final double weight;
    final List<Attempt> launches = new ArrayList<>();
    int outstanding;
    boolean done;
    /** No further launch of it is allowed, and none is outstanding. */
    boolean exhausted;

    ShardRequest(Query query, String id, int shard, int firstCell, double weight) {
        this.query = query;
        this.id = id;
        this.shard = shard;
        this.firstCell = firstCell;
        this.weight = weight;
    }

    /** Whether it still waits for its first launch. */
    boolean unlaunched() {
        return launches.isEmpty() && !done;
    }

    boolean outstandingAt(Replica replica) {
        for (Attempt launch : launches) {
            if (launch.replica == replica && !launch.over) {
                return true;
            }
        }
        return false;
    }

    boolean overdue(double now) {
        return outstanding > 0 && !done && now >= latest().overdueAt;
    }

    /** Null where there was no such launch. */
    Attempt launch(int number) {
        return number >= 0 && number < launches.size() ? launches.get(number) : null;
    }

    Attempt latest() {
        return launches.get(launches.size() - 1);
    }

    /** Notes a new launch, also with the earlier ones. */
    void launched(Attempt launch) {
        launches.forEach(earlier -> earlier.outstandingAtNext |= !earlier.over);
        launches.add(launch);
        outstanding++;
        query.outstanding++;
    }
}
