package pinewick.dial;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one searcher's addresses have been seen to do, and the order in which they are tried. No I/O; times in seconds.
 * The order is that of RFC 8305 (families interleaved, the preferred one first) with each address's own history before
 * it: a Unix socket that works comes first, what fails or stalls rests and comes last.
 */
public final class AddressHistory {
    /** The newest connect time's weight in the smoothed one, and in its spread. */
    private static final double NEWEST = 0.25;

    private static final double REST_LEAST = 0.25;
    private static final double REST_MOST = 30;
    /** Without failures for this long the count of failures in a row is halved. */
    private static final double FORGIVES = 60;

    private static final double FIRST_GUESS = 0.05;
    private static final double STAGGER_LEAST = 0.01;
    /** RFC 8305's least recommended; its 250 ms would take two hung addresses past 300 ms. */
    private static final double STAGGER_MOST = 0.1;
    /** An address this many times slower than the best one, and by this much, comes after the others. */
    private static final double SLOW_FACTOR = 2;

    private static final double SLOW_LEAST = 0.01;
    private static final double TRY_AGAIN = 30;
    private static final double CONNECT_LEAST = 0.05;

    private static final class Row {
        final Address address;
        double smoothed = Double.NaN;
        double spread;
        int failures;
        double failedAt = Double.NEGATIVE_INFINITY;
        double restUntil = Double.NEGATIVE_INFINITY;
        double goodAt = Double.NEGATIVE_INFINITY;
        double outrunAt = Double.NEGATIVE_INFINITY;
        boolean stranger;

        Row(Address address) {
            this.address = address;
        }
    }

    private final Map<Address, Row> rows = new LinkedHashMap<>();
    private Address.Kind lastGood = Address.Kind.IPV6;

    /**
     * The addresses from now on, in the order listed; what is known of those that stay is kept. Tells those that left.
     */
    public List<Address> set(Collection<Address> addresses) {
        List<Address> left = new ArrayList<>(rows.keySet());
        left.removeAll(addresses);
        Map<Address, Row> kept = new LinkedHashMap<>(rows);
        rows.clear();
        for (Address each : addresses) {
            rows.put(each, kept.containsKey(each) ? kept.get(each) : new Row(each));
        }
        return left;
    }

    /** A connection came up there after so long. */
    public void opened(Address address, double now, double took) {
        Row row = rows.get(address);
        if (row == null) {
            return;
        }
        if (Double.isNaN(row.smoothed)) {
            row.smoothed = took;
            row.spread = took / 2;
        } else {
            row.spread += NEWEST * (Math.abs(took - row.smoothed) - row.spread);
            row.smoothed += NEWEST * (took - row.smoothed);
        }
    }

    /**
     * Another address came up while this one was under way for so long, longer than it was given before the other was
     * started: its connects take at least that. Danger: one that hangs would never be told, since each race ends
     * before its time-out, and it would cost its stagger each time.
     */
    public void outrun(Address address, double now, double under) {
        Row row = rows.get(address);
        if (row != null) {
            row.outrunAt = now;
            row.smoothed = Double.isNaN(row.smoothed) ? under : Math.max(row.smoothed, under);
        }
    }

    /** Bytes came back over it: the path works both ways. A connect alone proves little, a stalled one opens too. */
    public void served(Address address, double now) {
        Row row = rows.get(address);
        if (row != null) {
            row.goodAt = now;
            row.failures = 0;
            row.restUntil = Double.NEGATIVE_INFINITY;
            if (address.kind() != Address.Kind.UNIX) {
                lastGood = address.kind();
            }
        }
    }

    /** It refused, hung, broke or stalled: it rests, twice as long with each time in a row. */
    public void failed(Address address, double now) {
        Row row = rows.get(address);
        if (row == null) {
            return;
        }
        if (now - row.failedAt > FORGIVES) {
            row.failures /= 2;
        }
        row.failedAt = now;
        row.restUntil = now + Math.min(REST_MOST, REST_LEAST * (1 << Math.min(row.failures, 10)));
        row.failures++;
    }

    /** Another searcher answered there: it is not used until the list names it anew. */
    public void stranger(Address address) {
        if (rows.containsKey(address)) {
            rows.get(address).stranger = true;
        }
    }

    public boolean resting(Address address, double now) {
        Row row = rows.get(address);
        return row != null && now < row.restUntil;
    }

    /**
     * Addresses that rest no more after failures, or were outrun a while ago, and may be tried in the background, none
     * of them needed.
     */
    public List<Address> returning(double now) {
        List<Address> due = new ArrayList<>();
        rows.values().forEach(row -> {
            boolean outrun = row.outrunAt > row.goodAt && now - row.outrunAt >= TRY_AGAIN;
            if (!row.stranger && now >= row.restUntil && (row.failures > 0 || outrun)) {
                due.add(row.address);
            }
        });
        return due;
    }

    /**
     * The order to try, resting ones last (the soonest back first): with all at rest the searcher itself may be at
     * fault, and a try tells.
     */
    public List<Address> order(double now) {
        List<Row> fit = new ArrayList<>();
        List<Row> resting = new ArrayList<>();
        rows.values().forEach(row -> {
            if (!row.stranger) {
                (now < row.restUntil ? resting : fit).add(row);
            }
        });
        List<Address> order = new ArrayList<>();
        List<Row> first = new ArrayList<>();
        List<Row> second = new ArrayList<>();
        List<Row> slow = new ArrayList<>();
        double best = Double.POSITIVE_INFINITY;
        for (Row row : fit) {
            best = row.failures == 0 && !Double.isNaN(row.smoothed) ? Math.min(best, row.smoothed) : best;
        }
        for (Row row : fit) {
            if (!Double.isNaN(row.smoothed) && row.smoothed > SLOW_FACTOR * best + SLOW_LEAST) {
                slow.add(row);
            } else if (row.address.kind() == Address.Kind.UNIX) {
                order.add(row.address);
            } else {
                (row.address.kind() == lastGood ? first : second).add(row);
            }
        }
        first.sort(AddressHistory::better);
        second.sort(AddressHistory::better);
        // A family whose addresses have failed since they last served does not come first.
        if (!first.isEmpty() && !second.isEmpty() && first.get(0).failures > 0 && second.get(0).failures == 0) {
            List<Row> swapped = first;
            first = second;
            second = swapped;
        }
        for (int each = 0; each < Math.max(first.size(), second.size()); each++) {
            if (each < first.size()) {
                order.add(first.get(each).address);
            }
            if (each < second.size()) {
                order.add(second.get(each).address);
            }
        }
        slow.sort(AddressHistory::better);
        slow.forEach(row -> order.add(row.address));
        resting.sort((one, other) -> Double.compare(one.restUntil, other.restUntil));
        resting.forEach(row -> order.add(row.address));
        return order;
    }

    private static int better(Row one, Row other) {
        if (one.failures != other.failures) {
            return Integer.compare(one.failures, other.failures);
        }
        return Double.compare(guess(one), guess(other));
    }

    private static double guess(Row row) {
        return Double.isNaN(row.smoothed) ? FIRST_GUESS : row.smoothed;
    }

    /** Seconds after which the next address is tried beside this one: longer than its connects take, as seen. */
    public double stagger(Address address) {
        Row row = rows.get(address);
        if (row == null || Double.isNaN(row.smoothed)) {
            return STAGGER_MOST;
        }
        return Math.max(STAGGER_LEAST, Math.min(STAGGER_MOST, row.smoothed + 4 * row.spread));
    }

    /** The longest a connect there may take before it counts as hung; {@code most} where nothing is known yet. */
    public double connectTime(Address address, double most) {
        Row row = rows.get(address);
        if (row == null || Double.isNaN(row.smoothed)) {
            return most;
        }
        return Math.min(most, Math.max(CONNECT_LEAST, 2 * (row.smoothed + 4 * row.spread)));
    }
}
