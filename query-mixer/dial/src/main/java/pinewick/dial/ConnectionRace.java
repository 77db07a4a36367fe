package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects race for one connection to a searcher; the first that comes up wins, and nothing is ever written to another.
 * No I/O; times in seconds. The race ends once: won, or lost when every address has failed or its time is over.
 */
public final class ConnectionRace {
    /** What the race asks for. */
    public interface Wire {
        void open(Address address);

        /** A connect that is under way is of no use any more. */
        void abandon(Address address);

        /** This address's connection is the one; the race is over. */
        void won(Address address);

        /** None came up; the race is over. */
        void lost();
    }

    private static final class Attempt {
        final double startedAt;
        final double until;
        boolean over;

        Attempt(double startedAt, double until) {
            this.startedAt = startedAt;
            this.until = until;
        }
    }

    private final AddressHistory book;
    private final Wire wire;
    private final double until;
    private final double most;
    private final List<Address> left;
    private final Map<Address, Attempt> attempts = new LinkedHashMap<>();
    private double nextAt;
    private boolean over;

    /** @param most seconds for the whole race, and for any one connect */
    public ConnectionRace(AddressHistory book, double now, double most, Wire wire) {
        this.book = book;
        this.wire = wire;
        this.most = most;
        until = now + most;
        left = new ArrayList<>(book.order(now));
        nextAt = now;
    }

    public boolean over() {
        return over;
    }

    /** Starts what is due, ends what hangs; to be called at once, then every hundredth of a second or so. */
    public void tick(double now) {
        for (Map.Entry<Address, Attempt> each : List.copyOf(attempts.entrySet())) {
            if (!over && !each.getValue().over && now >= each.getValue().until) {
                wire.abandon(each.getKey());
                failed(now, each.getKey());
            }
        }
        if (over) {
            return;
        }
        if (now >= until) {
            end();
            wire.lost();
            return;
        }
        while (!over && !left.isEmpty() && now >= nextAt) {
            start(now);
        }
        if (!over && left.isEmpty() && attempts.values().stream().allMatch(each -> each.over)) {
            over = true;
            wire.lost();
        }
    }

    private void start(double now) {
        Address address = left.remove(0);
        attempts.put(address, new Attempt(now, Math.min(until, now + book.connectTime(address, most))));
        nextAt = now + book.stagger(address);
        wire.open(address);
    }

    /** True where this connection is the winner; a later one is the caller's, as a spare or to be closed. */
    public boolean opened(double now, Address address) {
        Attempt attempt = attempts.get(address);
        if (attempt == null || attempt.over) {
            return false;
        }
        attempt.over = true;
        book.opened(address, now, now - attempt.startedAt);
        if (over) {
            return false;
        }
        over = true;
        attempts.forEach((other, under) -> {
            if (!under.over && now - under.startedAt >= book.stagger(other)) {
                book.outrun(other, now, now - under.startedAt);
            }
        });
        wire.won(address);
        return true;
    }

    /** A connect failed; the next address is tried at once. */
    public void failed(double now, Address address) {
        Attempt attempt = attempts.get(address);
        if (attempt == null || attempt.over) {
            return;
        }
        attempt.over = true;
        book.failed(address, now);
        if (!over) {
            nextAt = now;
            tick(now);
        }
    }

    /** Nobody waits for this connection any more, or the searcher takes nothing new. */
    public void cancel() {
        if (!over) {
            end();
        }
    }

    private void end() {
        over = true;
        attempts.forEach((address, attempt) -> {
            if (!attempt.over) {
                attempt.over = true;
                wire.abandon(address);
            }
        });
    }
}
