package pinewick.core;

import java.util.ArrayList;
import java.util.List;

/** One shard request of a query, with its attempts in the order in which they were sent. */
final class ShardRequest {
    final Query query;
    final String id;
    final int shard;
    /** The first of the cells that hold its shard. */
    final int firstCell;

    final double weight;
    final List<Attempt> attempts = new ArrayList<>();
    int outstanding;
    boolean done;
    /** No further attempt is allowed, and none is outstanding. */
    boolean exhausted;

    ShardRequest(Query query, String id, int shard, int firstCell, double weight) {
        this.query = query;
        this.id = id;
        this.shard = shard;
        this.firstCell = firstCell;
        this.weight = weight;
    }

    /** Whether it still waits for its first attempt. */
    boolean unsent() {
        return attempts.isEmpty() && !done;
    }

    boolean outstandingAt(Replica replica) {
        for (Attempt attempt : attempts) {
            if (attempt.replica == replica && !attempt.finished) {
                return true;
            }
        }
        return false;
    }

    boolean overdue(double now) {
        return outstanding > 0 && !done && now >= latest().overdueAt;
    }

    /** Returns null if there was no such attempt. */
    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    Attempt latest() {
        return attempts.get(attempts.size() - 1);
    }

    /** Records a new attempt, and marks the outstanding earlier ones. */
    void onAttemptSent(Attempt attempt) {
        attempts.forEach(earlier -> earlier.outstandingAtRetry |= !earlier.finished);
        attempts.add(attempt);
        outstanding++;
        query.outstanding++;
    }
}
