package pinewick.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.QuotaLimit;
import pinewick.model.QuotaUnit;

/** The limit of a tenant over a fleet whose messages, routers and controllers fail (docs/quotas.md). */
class QuotaFleetTest {
    /** A small allowance, so that defects exceed it; the platform's is several times as large. */
    private static final QuotaPolicy POLICY = new QuotaPolicy(8_000, 0, 40_000);

    private static final QuotaLimit LIMIT = new QuotaLimit(47_000, 47_000, QuotaUnit.TOKENS, 200);
    private static final double BASE_LIMIT = 47_000 * 8 + 47_000;
    private static final double RUN_MS = 30_000;
    /** Five times the limit, at a mean of about 4,300 tokens per request. */
    private static final double FIVEFOLD_PER_SECOND = 55;

    private static final double LONG_FRACTION = 0.2;
    private static final int MAX_SEEDS = 40;
    private static final double FREQUENT_FAULTS_MS = 200;
    private static final double RARE_FAULTS_MS = 3_000;
    private static final double SHORT_OUTAGES_MS = 300;
    private static final double LONG_OUTAGES_MS = 4_000;

    private static QuotaFleet run(
            int routers,
            double perSecond,
            boolean bursts,
            boolean faults,
            double faultIntervalMs,
            double outageMs,
            QuotaFleet.Defect defect,
            long seed) {
        QuotaFleet fleet = new QuotaFleet(
                new QuotaFleet.Plan(
                        routers,
                        LIMIT,
                        POLICY,
                        perSecond,
                        LONG_FRACTION,
                        bursts,
                        faults,
                        faultIntervalMs,
                        outageMs,
                        defect),
                seed);
        fleet.run(RUN_MS);
        return fleet;
    }

    /** The bound that docs/quotas.md guarantees: it uses three quarters of the allowance. */
    private static double bound() {
        return BASE_LIMIT + 0.75 * POLICY.allowance(47, 47_000);
    }

    @Property(tries = 25)
    void noWindowExceedsItsBound(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 120) int routers,
            @ForAll boolean bursts,
            @ForAll boolean faults) {
        QuotaFleet fleet = run(
                routers,
                FIVEFOLD_PER_SECOND,
                bursts,
                faults,
                FREQUENT_FAULTS_MS,
                LONG_OUTAGES_MS,
                QuotaFleet.Defect.NONE,
                seed);
        assertTrue(fleet.highestSum() <= bound(), fleet.highestSum() + " of " + bound());
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 84, 420})
    void aTenantOverItsLimitIsServedAtItsRate(int routers) {
        QuotaFleet fleet = run(
                routers,
                FIVEFOLD_PER_SECOND,
                false,
                false,
                FREQUENT_FAULTS_MS,
                LONG_OUTAGES_MS,
                QuotaFleet.Defect.NONE,
                7);
        double served =
                fleet.executed.stream().mapToDouble(QuotaFleet.Executed::cost).sum();
        assertTrue(served >= 0.95 * 47 * RUN_MS, served + " served");
    }

    /** The tenant sends at half of its limit, with the platform's allowance; the bucket is empty at first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aTenantBelowItsLimitIsRarelyRefused(long seed) {
        QuotaFleet fleet = new QuotaFleet(
                new QuotaFleet.Plan(
                        84,
                        LIMIT,
                        new QuotaPolicy(8_000, 0.1, 190_000),
                        FIVEFOLD_PER_SECOND / 10,
                        LONG_FRACTION,
                        false,
                        false,
                        FREQUENT_FAULTS_MS,
                        LONG_OUTAGES_MS,
                        QuotaFleet.Defect.NONE),
                seed);
        fleet.run(RUN_MS);
        assertTrue(fleet.rejected <= 0.03 * fleet.offered, fleet.rejected + " of " + fleet.offered);
    }

    /** Each defect exceeds the bound with at least one seed, in a small or a larger fleet. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void defectsAreDetected(QuotaFleet.Defect defect) {
        assertTrue(
                LongStream.range(0, MAX_SEEDS).anyMatch(seed -> exceedsBound(defect, seed)),
                defect + " was not detected");
    }

    private static boolean exceedsBound(QuotaFleet.Defect defect, long seed) {
        int routers = seed % 2 == 0 ? 4 : 40;
        double faultIntervalMs = seed % 4 < 2 ? RARE_FAULTS_MS : FREQUENT_FAULTS_MS;
        double outageMs = seed % 8 < 4 ? SHORT_OUTAGES_MS : LONG_OUTAGES_MS;
        QuotaFleet fleet = run(routers, 2 * FIVEFOLD_PER_SECOND, true, true, faultIntervalMs, outageMs, defect, seed);
        return fleet.highestSum() > bound();
    }
}
