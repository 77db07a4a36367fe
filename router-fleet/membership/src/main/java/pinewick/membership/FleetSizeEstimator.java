package pinewick.membership;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import pinewick.membership.MembershipMessages.SizeSketch;
import pinewick.model.SocketAddress;

/**
 * Estimates the number of routers. While the view contains all of them, the estimate is its size. In a larger fleet
 * each router sets a bit chosen by a hash of its address, the bits are merged by gossip, and the number of clear bits
 * gives the estimate (linear counting, Whang and others, 1990). Counting restarts in each epoch, so that stopped
 * routers are no longer counted; a process adopts any higher epoch, so that all processes restart within a few
 * exchanges.
 *
 * <p>Not thread-safe: control loop only.
 */
final class FleetSizeEstimator {
    static final double EPOCH_DURATION_MS = 15_000;
    /** The upper bound is the highest that was sampled or reported within this time. */
    static final double BOUND_RETENTION_MS = 60_000;
    /**
     * For this time after its own start a process multiplies the bound by {@link #STARTUP_FACTOR}: other routers may
     * have started at the same time, and running routers do not count those yet.
     */
    static final double STARTUP_MS = 8_000;

    private static final int STARTUP_FACTOR = 4;
    private static final int MAX_PEER_BOUNDS = 32;
    private static final int BITS = 1_024;
    private static final double SKETCH_RETENTION_MS = 2 * EPOCH_DURATION_MS;
    /** Number of standard deviations of linear counting that the upper bound adds to the estimate. */
    private static final double DEVIATIONS = 3;

    private static final double SAMPLE_INTERVAL_MS = 1_000;

    private final NodeDescriptor self;
    private final double startedAtMs;
    private final Deque<Sample> samples = new ArrayDeque<>();
    /** Bounds that peers reported to this process when it had just started. */
    private final Deque<Sample> peerBounds = new ArrayDeque<>();

    private BitSet bits = new BitSet(BITS);
    private int epoch;
    private double epochStartedAtMs;
    private double sketchUsedUntilMs = Double.NEGATIVE_INFINITY;
    private double lastEpochEstimate;
    private int routersInView;

    private record Sample(double takenMs, double upperBound) {}

    FleetSizeEstimator(NodeDescriptor self, double nowMs) {
        this.self = self;
        this.startedAtMs = nowMs;
        startEpoch(0, nowMs);
    }

    private void startEpoch(int number, double nowMs) {
        lastEpochEstimate = linearCountingEstimate();
        epoch = number;
        epochStartedAtMs = nowMs;
        bits = new BitSet(BITS);
        if (self.role() == NodeRole.ROUTER) {
            bits.set(bitOf(self.address(), number));
        }
    }

    /**
     * Samples the bound, and starts the next epoch if it is due.
     *
     * @param routersKnown routers in the view, plus this process if it is a router
     * @param isViewFull whether the fleet may be larger than the view
     */
    void onTick(int routersKnown, boolean isViewFull, double nowMs) {
        routersInView = routersKnown;
        if (isViewFull) {
            sketchUsedUntilMs = nowMs + SKETCH_RETENTION_MS;
        }
        if (nowMs - epochStartedAtMs >= EPOCH_DURATION_MS) {
            startEpoch(epoch + 1, nowMs);
        }
        if (samples.isEmpty() || nowMs - samples.peekLast().takenMs >= SAMPLE_INTERVAL_MS) {
            samples.addLast(new Sample(nowMs, currentUpperBound(nowMs)));
            while (nowMs - samples.peekFirst().takenMs > BOUND_RETENTION_MS) {
                samples.removeFirst();
            }
        }
    }

    /** The sketch to send to a peer; null, as on the wire, while the view contains all routers. */
    SizeSketch sketch(double nowMs) {
        return isSketchInUse(nowMs)
                ? new SizeSketch(epoch, bits.toByteArray(), (int) Math.round(lastEpochEstimate))
                : null;
    }

    /** Merges the sketch of a peer; null, and one with too many bits, are ignored. */
    void merge(SizeSketch sketch, double nowMs) {
        if (sketch == null || sketch.bits().length > BITS / Byte.SIZE) {
            return;
        }
        sketchUsedUntilMs = Math.max(sketchUsedUntilMs, nowMs + SKETCH_RETENTION_MS);
        if (sketch.epoch() > epoch) {
            startEpoch(sketch.epoch(), nowMs);
        }
        if (sketch.epoch() == epoch) {
            lastEpochEstimate = Math.max(lastEpochEstimate, sketch.countBefore());
            bits.or(BitSet.valueOf(sketch.bits()));
        }
    }

    private boolean isSketchInUse(double nowMs) {
        return nowMs < sketchUsedUntilMs;
    }

    /** Estimated number of running routers, counting this process if it is one; at least 1. */
    int estimate(double nowMs) {
        return (int) Math.max(1, Math.round(bestEstimate(nowMs)));
    }

    private double bestEstimate(double nowMs) {
        return isSketchInUse(nowMs)
                ? Math.max(routersInView, Math.max(linearCountingEstimate(), lastEpochEstimate))
                : routersInView;
    }

    /**
     * Adds the own bound of a peer. The peers that this process reaches may be partitioned from most of the fleet now,
     * and have counted it before the partition.
     */
    void addPeerBound(int upperBound, double nowMs) {
        peerBounds.addLast(new Sample(nowMs, upperBound));
        while (nowMs - peerBounds.peekFirst().takenMs > BOUND_RETENTION_MS || peerBounds.size() > MAX_PEER_BOUNDS) {
            peerBounds.removeFirst();
        }
    }

    /** The highest bound that this process itself has counted within {@link #BOUND_RETENTION_MS}; at least 1. */
    int ownBound(double nowMs) {
        double highest = currentUpperBound(nowMs);
        for (Sample sample : samples) {
            highest = Math.max(highest, sample.upperBound);
        }
        return (int) Math.max(1, Math.ceil(highest));
    }

    /** Upper bound of the number of running routers, with high probability. */
    int upperBound(double nowMs) {
        boolean isStartingUp = nowMs - startedAtMs < STARTUP_MS;
        double highest = isStartingUp ? (double) STARTUP_FACTOR * ownBound(nowMs) : ownBound(nowMs);
        for (Sample sample : peerBounds) {
            if (nowMs - sample.takenMs <= BOUND_RETENTION_MS) {
                highest = Math.max(highest, sample.upperBound);
            }
        }
        return (int) Math.ceil(highest);
    }

    private double currentUpperBound(double nowMs) {
        double estimate = bestEstimate(nowMs);
        if (!isSketchInUse(nowMs)) {
            return estimate;
        }
        double load = estimate / BITS;
        double deviation = Math.sqrt(BITS * (Math.exp(load) - load - 1));
        return estimate + DEVIATIONS * deviation + 1;
    }

    private double linearCountingEstimate() {
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
