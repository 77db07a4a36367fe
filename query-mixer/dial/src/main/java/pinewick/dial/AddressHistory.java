package pinewick.dial;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connection history of one back end's addresses, and the order of connection attempts that follows from it. No
 * I/O; times are in seconds. The order is that of RFC 8305 (address families interleaved, the preferred one first),
 * adjusted by each address's own history: a Unix socket that works comes first, an address that fails or stalls backs
 * off and comes last.
 */
public final class AddressHistory {
    /** Weight of the newest connect time in the exponentially weighted mean and deviation. */
    private static final double SMOOTHING_FACTOR = 0.25;

    private static final double MIN_BACKOFF_SECONDS = 0.25;
    private static final double MAX_BACKOFF_SECONDS = 30;
    /** After this long without a failure the count of consecutive failures is halved. */
    private static final double FAILURE_DECAY_SECONDS = 60;

    private static final double DEFAULT_CONNECT_SECONDS = 0.05;
    private static final double MIN_ATTEMPT_DELAY_SECONDS = 0.01;
    /**
     * The lowest Connection Attempt Delay that RFC 8305 recommends; with its default of 250 ms two hung addresses would
     * take longer than 300 ms.
     */
    private static final double MAX_ATTEMPT_DELAY_SECONDS = 0.1;
    /**
     * An address is slow, and tried after the others, if its connect time exceeds this multiple of the best one's plus
     * the margin.
     */
    private static final double SLOW_FACTOR = 2;

    private static final double SLOW_MARGIN_SECONDS = 0.01;
    private static final double OUTPACED_RETRY_SECONDS = 30;
    private static final double MIN_CONNECT_TIMEOUT_SECONDS = 0.05;

    private static final class Stats {
        final Address address;
        double smoothedSeconds = Double.NaN;
        double deviationSeconds;
        int consecutiveFailures;
        double lastFailureAt = Double.NEGATIVE_INFINITY;
        double backoffUntil = Double.NEGATIVE_INFINITY;
        double lastDataAt = Double.NEGATIVE_INFINITY;
        double outpacedAt = Double.NEGATIVE_INFINITY;
        boolean reachesWrongBackend;

        Stats(Address address) {
            this.address = address;
        }
    }

    private final Map<Address, Stats> statsByAddress = new LinkedHashMap<>();
    private Address.Family preferredFamily = Address.Family.IPV6;

    /**
     * Replaces the addresses, in the order listed; the history of those that stay is kept. Returns the removed
     * addresses.
     */
    public List<Address> setAddresses(Collection<Address> addresses) {
        List<Address> removed = new ArrayList<>(statsByAddress.keySet());
        removed.removeAll(addresses);
        Map<Address, Stats> previous = new LinkedHashMap<>(statsByAddress);
        statsByAddress.clear();
        for (Address each : addresses) {
            statsByAddress.put(each, previous.containsKey(each) ? previous.get(each) : new Stats(each));
        }
        return removed;
    }

    /** Records an established connection and the time it took. */
    public void onConnected(Address address, double now, double connectSeconds) {
        Stats stats = statsByAddress.get(address);
        if (stats == null) {
            return;
        }
        if (Double.isNaN(stats.smoothedSeconds)) {
            stats.smoothedSeconds = connectSeconds;
            stats.deviationSeconds = connectSeconds / 2;
        } else {
            stats.deviationSeconds +=
                    SMOOTHING_FACTOR * (Math.abs(connectSeconds - stats.smoothedSeconds) - stats.deviationSeconds);
            stats.smoothedSeconds += SMOOTHING_FACTOR * (connectSeconds - stats.smoothedSeconds);
        }
    }

    /**
     * Records that another address connected while the attempt here had been pending for {@code elapsedSeconds}, longer
     * than its attempt delay: connecting here takes at least that long. Without this an address that hangs would never
     * be detected, since each race ends before its time-out, and it would cost its attempt delay in every race.
     */
    public void onOutpaced(Address address, double now, double elapsedSeconds) {
        Stats stats = statsByAddress.get(address);
        if (stats != null) {
            stats.outpacedAt = now;
            stats.smoothedSeconds = Double.isNaN(stats.smoothedSeconds)
                    ? elapsedSeconds
                    : Math.max(stats.smoothedSeconds, elapsedSeconds);
        }
    }

    /**
     * Records received data: the path works in both directions. A successful connect alone proves little, since a
     * stalled path accepts connections too.
     */
    public void onDataReceived(Address address, double now) {
        Stats stats = statsByAddress.get(address);
        if (stats != null) {
            stats.lastDataAt = now;
            stats.consecutiveFailures = 0;
            stats.backoffUntil = Double.NEGATIVE_INFINITY;
            if (address.family() != Address.Family.UNIX) {
                preferredFamily = address.family();
            }
        }
    }

    /**
     * Records a refused, hung, broken or stalled connection. The address backs off, twice as long with each consecutive
     * failure.
     */
    public void onFailure(Address address, double now) {
        Stats stats = statsByAddress.get(address);
        if (stats == null) {
            return;
        }
        if (now - stats.lastFailureAt > FAILURE_DECAY_SECONDS) {
            stats.consecutiveFailures /= 2;
        }
        stats.lastFailureAt = now;
        stats.backoffUntil = now
                + Math.min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * (1 << Math.min(stats.consecutiveFailures, 10)));
        stats.consecutiveFailures++;
    }

    /** Records that another back end answered at this address; it is not used until the address list names it anew. */
    public void onWrongBackend(Address address) {
        if (statsByAddress.containsKey(address)) {
            statsByAddress.get(address).reachesWrongBackend = true;
        }
    }

    public boolean isBackingOff(Address address, double now) {
        Stats stats = statsByAddress.get(address);
        return stats != null && now < stats.backoffUntil;
    }

    /**
     * Addresses whose backoff after failures has expired, or that were outpaced {@code OUTPACED_RETRY_SECONDS} ago or
     * longer, and that may be tried in the background; no call depends on these attempts.
     */
    public List<Address> retryCandidates(double now) {
        List<Address> candidates = new ArrayList<>();
        statsByAddress.values().forEach(stats -> {
            boolean outpaced = stats.outpacedAt > stats.lastDataAt && now - stats.outpacedAt >= OUTPACED_RETRY_SECONDS;
            if (!stats.reachesWrongBackend
                    && now >= stats.backoffUntil
                    && (stats.consecutiveFailures > 0 || outpaced)) {
                candidates.add(stats.address);
            }
        });
        return candidates;
    }

    /**
     * The order of connection attempts. Addresses in backoff come last, the one whose backoff ends soonest first: with
     * all of them in backoff the back end itself may be at fault, which an attempt will show.
     */
    public List<Address> attemptOrder(double now) {
        List<Stats> available = new ArrayList<>();
        List<Stats> backingOff = new ArrayList<>();
        statsByAddress.values().forEach(stats -> {
            if (!stats.reachesWrongBackend) {
                (now < stats.backoffUntil ? backingOff : available).add(stats);
            }
        });
        List<Address> order = new ArrayList<>();
        List<Stats> preferred = new ArrayList<>();
        List<Stats> others = new ArrayList<>();
        List<Stats> slow = new ArrayList<>();
        double bestSeconds = Double.POSITIVE_INFINITY;
        for (Stats stats : available) {
            bestSeconds = stats.consecutiveFailures == 0 && !Double.isNaN(stats.smoothedSeconds)
                    ? Math.min(bestSeconds, stats.smoothedSeconds)
                    : bestSeconds;
        }
        for (Stats stats : available) {
            if (!Double.isNaN(stats.smoothedSeconds)
                    && stats.smoothedSeconds > SLOW_FACTOR * bestSeconds + SLOW_MARGIN_SECONDS) {
                slow.add(stats);
            } else if (stats.address.family() == Address.Family.UNIX) {
                order.add(stats.address);
            } else {
                (stats.address.family() == preferredFamily ? preferred : others).add(stats);
            }
        }
        preferred.sort(AddressHistory::compare);
        others.sort(AddressHistory::compare);
        // A family whose addresses have failed since they last delivered data does not come first.
        if (!preferred.isEmpty()
                && !others.isEmpty()
                && preferred.get(0).consecutiveFailures > 0
                && others.get(0).consecutiveFailures == 0) {
            List<Stats> previouslyPreferred = preferred;
            preferred = others;
            others = previouslyPreferred;
        }
        for (int each = 0; each < Math.max(preferred.size(), others.size()); each++) {
            if (each < preferred.size()) {
                order.add(preferred.get(each).address);
            }
            if (each < others.size()) {
                order.add(others.get(each).address);
            }
        }
        slow.sort(AddressHistory::compare);
        slow.forEach(stats -> order.add(stats.address));
        backingOff.sort((one, other) -> Double.compare(one.backoffUntil, other.backoffUntil));
        backingOff.forEach(stats -> order.add(stats.address));
        return order;
    }

    private static int compare(Stats one, Stats other) {
        if (one.consecutiveFailures != other.consecutiveFailures) {
            return Integer.compare(one.consecutiveFailures, other.consecutiveFailures);
        }
        return Double.compare(expectedConnectSeconds(one), expectedConnectSeconds(other));
    }

    private static double expectedConnectSeconds(Stats stats) {
        return Double.isNaN(stats.smoothedSeconds) ? DEFAULT_CONNECT_SECONDS : stats.smoothedSeconds;
    }

    /**
     * The Connection Attempt Delay of RFC 8305: seconds after which the next address is tried in parallel, longer
     * than the usual connect time of this address.
     */
    public double attemptDelaySeconds(Address address) {
        Stats stats = statsByAddress.get(address);
        if (stats == null || Double.isNaN(stats.smoothedSeconds)) {
            return MAX_ATTEMPT_DELAY_SECONDS;
        }
        return Math.max(
                MIN_ATTEMPT_DELAY_SECONDS,
                Math.min(MAX_ATTEMPT_DELAY_SECONDS, stats.smoothedSeconds + 4 * stats.deviationSeconds));
    }

    /**
     * Seconds after which a connection attempt counts as hung; {@code maxSeconds} where no connect time is known yet.
     */
    public double connectTimeoutSeconds(Address address, double maxSeconds) {
        Stats stats = statsByAddress.get(address);
        if (stats == null || Double.isNaN(stats.smoothedSeconds)) {
            return maxSeconds;
        }
        return Math.min(
                maxSeconds,
                Math.max(MIN_CONNECT_TIMEOUT_SECONDS, 2 * (stats.smoothedSeconds + 4 * stats.deviationSeconds)));
    }
}
