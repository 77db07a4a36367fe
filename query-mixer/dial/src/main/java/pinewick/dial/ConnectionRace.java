package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Races connection attempts over the addresses of one back end, as in RFC 8305 (Happy Eyeballs). The first attempt that
 * connects wins, and nothing is ever written to another connection. No I/O; times are in seconds. The race ends exactly
 * once: won, or lost when every attempt has failed or the time-out has passed; it can also be cancelled.
 */
public final class ConnectionRace {
    /** Carries out the connection attempts and receives the outcome of the race. */
    public interface Transport {
        void connect(Address address);

        /** Cancels a connection attempt in progress. */
        void cancel(Address address);

        /** This address's connection has won; the race is finished. */
        void onWon(Address address);

        /** No attempt connected; the race is finished. */
        void onLost();
    }

    private static final class Attempt {
        final double startedAt;
        final double deadline;
        boolean finished;

        Attempt(double startedAt, double deadline) {
            this.startedAt = startedAt;
            this.deadline = deadline;
        }
    }

    private final AddressHistory history;
    private final Transport transport;
    private final double deadline;
    private final double timeoutSeconds;
    private final List<Address> remaining;
    private final Map<Address, Attempt> attempts = new LinkedHashMap<>();
    private double nextAttemptAt;
    private boolean finished;

    /** @param timeoutSeconds time limit for the whole race and for each attempt */
    public ConnectionRace(AddressHistory history, double now, double timeoutSeconds, Transport transport) {
        this.history = history;
        this.transport = transport;
        this.timeoutSeconds = timeoutSeconds;
        deadline = now + timeoutSeconds;
        remaining = new ArrayList<>(history.attemptOrder(now));
        nextAttemptAt = now;
    }

    public boolean isFinished() {
        return finished;
    }

    /**
     * Starts the attempts that are due and cancels those past their deadline; to be called once at the start, then
     * about every 10 ms.
     */
    public void tick(double now) {
        for (Map.Entry<Address, Attempt> each : List.copyOf(attempts.entrySet())) {
            if (!finished && !each.getValue().finished && now >= each.getValue().deadline) {
                transport.cancel(each.getKey());
                onConnectFailed(now, each.getKey());
            }
        }
        if (finished) {
            return;
        }
        if (now >= deadline) {
            finish();
            transport.onLost();
            return;
        }
        while (!finished && !remaining.isEmpty() && now >= nextAttemptAt) {
            startNextAttempt(now);
        }
        if (!finished && remaining.isEmpty() && attempts.values().stream().allMatch(each -> each.finished)) {
            finished = true;
            transport.onLost();
        }
    }

    private void startNextAttempt(double now) {
        Address address = remaining.remove(0);
        attempts.put(
                address,
                new Attempt(now, Math.min(deadline, now + history.connectTimeoutSeconds(address, timeoutSeconds))));
        nextAttemptAt = now + history.attemptDelaySeconds(address);
        transport.connect(address);
    }

    /**
     * Reports an established connection. True if it wins the race; otherwise the caller owns the connection and keeps
     * it as a spare or closes it.
     */
    public boolean onConnected(double now, Address address) {
        Attempt attempt = attempts.get(address);
        if (attempt == null || attempt.finished) {
            return false;
        }
        attempt.finished = true;
        history.onConnected(address, now, now - attempt.startedAt);
        if (finished) {
            return false;
        }
        finished = true;
        attempts.forEach((other, pending) -> {
            if (!pending.finished && now - pending.startedAt >= history.attemptDelaySeconds(other)) {
                history.onOutpaced(other, now, now - pending.startedAt);
            }
        });
        transport.onWon(address);
        return true;
    }

    /** Reports a failed attempt; the next address is tried at once. */
    public void onConnectFailed(double now, Address address) {
        Attempt attempt = attempts.get(address);
        if (attempt == null || attempt.finished) {
            return;
        }
        attempt.finished = true;
        history.onFailure(address, now);
        if (!finished) {
            nextAttemptAt = now;
            tick(now);
        }
    }

    /**
     * Ends the race without an outcome: no call waits for the connection any more, or the back end accepts no new
     * calls.
     */
    public void cancel() {
        if (!finished) {
            finish();
        }
    }

    private void finish() {
        finished = true;
        attempts.forEach((address, attempt) -> {
            if (!attempt.finished) {
                attempt.finished = true;
                transport.cancel(address);
            }
        });
    }
}
