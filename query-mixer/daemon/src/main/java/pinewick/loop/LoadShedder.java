package pinewick.loop;

import java.util.SplittableRandom;

/**
 * Whether this process itself falls behind, and which newcomers it then turns away before their bodies are parsed.
 * It guards the process only, and so stands outside {@code Logic}: it knows nothing of searchers and acts on nothing
 * that was taken. No I/O, no clock of its own; times are seconds.
 *
 * <p>The signal is how long an event that comes at any moment has to wait for the batch that is under way then: the
 * sum of the squares of the batches' lengths over twice the time they span, both fading. One long batch (a pause, a
 * method being compiled) hardly moves it; batches that are long one after another do, also where the system gives
 * this process its core in slices.
 */
public final class LoadShedder {
    /** At this many times the wait borne, all but {@link #KEPT} of the newcomers are turned away. */
    private static final double STEEP = 4;
    /** Danger: with all turned away no batch would show that the load is over. */
    private static final double KEPT = 0.1;

    private final double borne;
    private final double memory;
    private final double advice;
    private final double highestValue;
    private final SplittableRandom chance;
    private double squares;
    private double spanned;
    private double lastEnd = Double.NaN;

    /**
     * @param borne seconds an event may have to wait, on the mean, before anybody is turned away
     * @param memory seconds over which what was seen fades
     * @param advice seconds after which those turned away should ask again, on the mean; 0 where none may be told
     * @param highestValue the value of the most valuable service grade, which is turned away half as often
     */
    public LoadShedder(double borne, double memory, double advice, double highestValue, SplittableRandom chance) {
        this.borne = borne;
        this.memory = memory;
        this.advice = advice;
        this.highestValue = highestValue;
        this.chance = chance;
    }

    /** A batch of events was handled between these times. */
    void recordBatch(double began, double ended) {
        double since = Double.isNaN(lastEnd) ? ended - began : Math.max(0, ended - lastEnd);
        double kept = Math.exp(-since / memory);
        double length = Math.max(0, ended - began);
        squares = squares * kept + length * length;
        spanned = spanned * kept + since;
        lastEnd = ended;
    }

    /** Seconds that an event now has to wait before it is taken, on the mean. */
    double expectedWait(double now) {
        if (Double.isNaN(lastEnd)) {
            return 0;
        }
        double idle = Math.max(0, now - lastEnd);
        double kept = Math.exp(-idle / memory);
        // Danger: right after the first batch the time spanned is that batch alone, and it would count as a jam.
        return squares * kept / (2 * Math.max(memory / 2, spanned * kept + idle));
    }

    /**
     * Whether a newcomer of this value is turned away. Danger: a process that is behind takes all, serves nothing in
     * time, and clients come again. Also catches floods by bad clients. Harm: a query is declined that could just
     * have been served; not while the wait is borne.
     */
    public boolean shouldReject(double now, double value) {
        double over = expectedWait(now) / borne - 1;
        if (over <= 0) {
            return false;
        }
        double share = Math.min(1 - KEPT, over / (STEEP - 1)) * (1 - 0.5 * Math.min(1, value / highestValue));
        return chance.nextDouble() < share;
    }

    /** Seconds after which one that was turned away should ask again, spread so that they do not return together. */
    public double retryAfterSeconds() {
        return advice * (0.5 + chance.nextDouble());
    }
}
