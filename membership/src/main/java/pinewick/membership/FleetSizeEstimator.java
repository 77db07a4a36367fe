package pinewick.membership;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import pinewick.membership.MembershipMessages.SizeSketch;
import pinewick.model.SocketAddress;

/**
 * Counts routers. While the view holds them all the count is its size. Beyond that each router sets a bit chosen by a
 * hash of its address, the bits are joined by gossip, and the number of clear bits gives the estimate (linear counting,
 * Whang and others, 1990). The count is restarted by epochs, so that routers that are gone drop out of it; the higher
 * epoch wins, so that all restart within a few exchanges.
 */
final class FleetSizeEstimator {
    static final double EPOCH_MS = 15_000;
    /** The upper bound is the highest value of so long a time. */
    static final double HOLD_MS = 60_000;
    /**
     * So long after its own start a process takes the bound several times: others may have started with it, and those
     * that run do not count them yet.
     */
    static final double YOUNG_MS = 8_000;

    private static final int YOUNG_FACTOR = 4;
    private static final int MOST_LEARNT = 32;
    private static final int BITS = 1_024;
    private static final double IN_USE_MS = 2 * EPOCH_MS;
    private static final double DEVIATIONS = 3;
    private static final double SAMPLE_MS = 1_000;

    private final NodeDescriptor self;
    private final double startedAtMs;
    private final Deque<Sample> recent = new ArrayDeque<>();
    /** Bounds that peers held when this process had just started. */
    private final Deque<Sample> learnt = new ArrayDeque<>();

    private BitSet bits = new BitSet(BITS);
    private int epoch;
    private double epochStartedAtMs;
    private double inUseUntilMs = Double.NEGATIVE_INFINITY;
    private double lastEpochEstimate;
    private int routersInView;

    private record Sample(double atMs, double upperBound) {}

    FleetSizeEstimator(NodeDescriptor self, double nowMs) {
        this.self = self;
        this.startedAtMs = nowMs;
        startEpoch(0, nowMs);
    }

    private void startEpoch(int number, double nowMs) {
        lastEpochEstimate = linearCount();
        epoch = number;
        epochStartedAtMs = nowMs;
        bits = new BitSet(BITS);
        if (self.role() == NodeRole.ROUTER) {
            bits.set(bitOf(self.address(), number));
        }
    }

    /** Time has passed; the view holds so many routers now. */
    void onTick(int routersKnown, boolean viewFull, double nowMs) {
        routersInView = routersKnown;
        if (viewFull) {
            inUseUntilMs = nowMs + IN_USE_MS;
        }
        if (nowMs - epochStartedAtMs >= EPOCH_MS) {
            startEpoch(epoch + 1, nowMs);
        }
        if (recent.isEmpty() || nowMs - recent.peekLast().atMs >= SAMPLE_MS) {
            recent.addLast(new Sample(nowMs, currentUpperBound(nowMs)));
            while (nowMs - recent.peekFirst().atMs > HOLD_MS) {
                recent.removeFirst();
            }
        }
    }

    /** The bits for a message, null while the view is enough. */
    SizeSketch sketch(double nowMs) {
        return inUse(nowMs) ? new SizeSketch(epoch, bits.toByteArray(), (int) Math.round(lastEpochEstimate)) : null;
    }

    /** Joins the bits of a peer. */
    void join(SizeSketch sketch, double nowMs) {
        if (sketch == null || sketch.bits().length > BITS / Byte.SIZE) {
            return;
        }
        inUseUntilMs = Math.max(inUseUntilMs, nowMs + IN_USE_MS);
        if (sketch.epoch() > epoch) {
            startEpoch(sketch.epoch(), nowMs);
        }
        if (sketch.epoch() == epoch) {
            lastEpochEstimate = Math.max(lastEpochEstimate, sketch.countBefore());
            bits.or(BitSet.valueOf(sketch.bits()));
        }
    }

    private boolean inUse(double nowMs) {
        return nowMs < inUseUntilMs;
    }

    /** Routers believed to run, this process included. */
    int estimate(double nowMs) {
        return (int) Math.max(1, Math.round(bestEstimate(nowMs)));
    }

    private double bestEstimate(double nowMs) {
        return inUse(nowMs) ? Math.max(routersInView, Math.max(linearCount(), lastEpochEstimate)) : routersInView;
    }

    /**
     * A peer has held this bound of its own. Those that this process reaches may be cut off from most of the fleet, and
     * have counted it before.
     */
    void learnBound(int upperBound, double nowMs) {
        learnt.addLast(new Sample(nowMs, upperBound));
        while (nowMs - learnt.peekFirst().atMs > HOLD_MS || learnt.size() > MOST_LEARNT) {
            learnt.removeFirst();
        }
    }

    /** The highest bound that this process has counted itself lately. */
    int ownBound(double nowMs) {
        double highest = currentUpperBound(nowMs);
        for (Sample sample : recent) {
            highest = Math.max(highest, sample.upperBound);
        }
        return (int) Math.max(1, Math.ceil(highest));
    }

    /** More routers than run, most probably. */
    int upperBound(double nowMs) {
        boolean young = nowMs - startedAtMs < YOUNG_MS;
        double highest = young ? (double) YOUNG_FACTOR * ownBound(nowMs) : ownBound(nowMs);
        for (Sample sample : learnt) {
            if (nowMs - sample.atMs <= HOLD_MS) {
                highest = Math.max(highest, sample.upperBound);
            }
        }
        return (int) Math.ceil(highest);
    }

    private double currentUpperBound(double nowMs) {
        double estimate = bestEstimate(nowMs);
        if (!inUse(nowMs)) {
            return estimate;
        }
        double load = estimate / BITS;
        double deviation = Math.sqrt(BITS * (Math.exp(load) - load - 1));
        return estimate + DEVIATIONS * deviation + 1;
    }

    private double linearCount() {
        int clear = Math.max(1, BITS - bits.cardinality());
        return -BITS * Math.log((double) clear / BITS);
    }

    private static int bitOf(SocketAddress address, int epoch) {
        long hash =
                (address.host().hashCode() * 31L + address.port()) * 0x9E3779B97F4A7C15L + epoch * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return (int) ((hash ^ (hash >>> 31)) & (BITS - 1));
    }
}
