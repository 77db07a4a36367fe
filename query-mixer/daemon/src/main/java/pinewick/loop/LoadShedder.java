package pinewick.loop;

import java.util.SplittableRandom;

/**
 * Detects that this process is overloaded, and decides which new queries it then rejects before their bodies are
 * parsed. It protects only this process, and so is separate from {@code QueryScheduler}: it knows nothing of replicas
 * and does not affect accepted queries. No I/O, no clock of its own; times are seconds.
 *
 * <p>The signal is the expected time that an event arriving at a random moment waits for the batch in progress: the sum
 * of the squared batch lengths over twice the time they span, both decaying exponentially. A single long batch (a
 * pause, a method being compiled) hardly changes it; consecutive long batches do, also where the operating system gives
 * this process its core in slices.
 */
public final class LoadShedder {
    /** At this multiple of the tolerable wait all but {@link #MIN_ADMITTED_SHARE} of the new queries are rejected. */
    private static final double FULL_SHEDDING_FACTOR = 4;
    /** With every query rejected no batch would show that the overload is over. */
    private static final double MIN_ADMITTED_SHARE = 0.1;

    private final double tolerableWaitSeconds;
    private final double decaySeconds;
    private final double meanRetryAfterSeconds;
    private final double highestValue;
    private final SplittableRandom random;
    private double squaredLengths;
    private double observedSeconds;
    private double lastEnd = Double.NaN;

    /**
     * @param tolerableWaitSeconds mean wait of an event before any query is rejected
     * @param decaySeconds time constant with which observations decay
     * @param meanRetryAfterSeconds mean delay after which rejected clients should retry; 0 if none may be sent
     * @param highestValue value of the most valuable service class, which is rejected half as often
     */
    public LoadShedder(
            double tolerableWaitSeconds,
            double decaySeconds,
            double meanRetryAfterSeconds,
            double highestValue,
            SplittableRandom random) {
        this.tolerableWaitSeconds = tolerableWaitSeconds;
        this.decaySeconds = decaySeconds;
        this.meanRetryAfterSeconds = meanRetryAfterSeconds;
        this.highestValue = highestValue;
        this.random = random;
    }

    /** Records a batch of events that was processed between these times. */
    void recordBatch(double startedAt, double endedAt) {
        double since = Double.isNaN(lastEnd) ? endedAt - startedAt : Math.max(0, endedAt - lastEnd);
        double decay = Math.exp(-since / decaySeconds);
        double length = Math.max(0, endedAt - startedAt);
        squaredLengths = squaredLengths * decay + length * length;
        observedSeconds = observedSeconds * decay + since;
        lastEnd = endedAt;
    }

    /** Expected wait of an event before it is processed, in seconds. */
    double expectedWait(double now) {
        if (Double.isNaN(lastEnd)) {
            return 0;
        }
        double idleSeconds = Math.max(0, now - lastEnd);
        double decay = Math.exp(-idleSeconds / decaySeconds);
        // Right after the first batch the observed time is that batch alone, which would look like a jam.
        return squaredLengths * decay / (2 * Math.max(decaySeconds / 2, observedSeconds * decay + idleSeconds));
    }

    /**
     * Whether to reject a new query of this value. A process that is behind and accepts everything serves nothing in
     * time, and clients retry; the same covers floods by faulty clients. Cost: queries are rejected that could just
     * have been served, though none while the wait is tolerable.
     */
    public boolean shouldReject(double now, double value) {
        double excess = expectedWait(now) / tolerableWaitSeconds - 1;
        if (excess <= 0) {
            return false;
        }
        double rejectedShare = Math.min(1 - MIN_ADMITTED_SHARE, excess / (FULL_SHEDDING_FACTOR - 1))
                * (1 - 0.5 * Math.min(1, value / highestValue));
        return random.nextDouble() < rejectedShare;
    }

    /**
     * Delay in seconds after which a rejected client should retry, randomized so that clients do not return together.
     */
    public double retryAfterSeconds() {
        return meanRetryAfterSeconds * (0.5 + random.nextDouble());
    }
}
