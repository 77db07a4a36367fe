package pinewick.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pinewick.core.SchedulerHost.LifecycleState;
import pinewick.core.SchedulerHost.ListUpdateKind;
import pinewick.core.SchedulerHost.Outcome;

/** The total load that all routers of a fleet, each with its own scheduler, send to one replica in warm-up. */
class ColdFleetTest {
    private static final double WORK = 0.1;

    /** One router with its own count of live routers. */
    private static final class Router {
        final FakeHost host;
        int queries;
        final PriorityQueue<Object[]> answers =
                new PriorityQueue<>((one, other) -> Double.compare((double) one[0], (double) other[0]));

        Router(double clock, long seed, int assumedRouters, int holders) {
            host = new FakeHost();
            host.clock = clock;
            host.seed = seed;
            host.routers = assumedRouters;
            String[] names = new String[holders];
            for (int each = 0; each < holders; each++) {
                names[each] = each == 0 ? "cold" : "warm-" + each;
            }
            host.open(names);
            host.calls.clear();
        }

        /** Submits a query of one shard request; returns the number of attempts sent to the cold replica. */
        int submit(SplittableRandom chance, boolean heavy) {
            Query query = host.submit("q" + queries++, 1);
            return attempts(query, chance, heavy);
        }

        int attempts(Query query, SplittableRandom chance, boolean heavy) {
            int cold = 0;
            for (String line : host.calls) {
                if (line.startsWith("sendAttempt ")) {
                    cold += line.endsWith(" cold") ? 1 : 0;
                    double elapsedSeconds = heavy ? WORK * Math.exp(1.2 * gauss(chance) - 0.72) : WORK;
                    answers.add(new Object[] {host.clock + elapsedSeconds, query, line.split(" ")[1], elapsedSeconds});
                }
            }
            host.calls.clear();
            return cold;
        }

        void step() {
            while (!answers.isEmpty() && (double) answers.peek()[0] <= host.clock) {
                Object[] due = answers.poll();
                ((Query) due[1]).onAttemptEnd((String) due[2], 0, Outcome.FULFILLED, (double) due[3], null);
            }
        }

        private static double gauss(SplittableRandom chance) {
            return Math.sqrt(-2 * Math.log(1 - chance.nextDouble())) * Math.cos(2 * Math.PI * chance.nextDouble());
        }
    }

    /** Attempts in the fullest window beyond the budget and statistical variation; at most 0 if the rule holds. */
    private static double overrun(
            int routers,
            double requestsPerSecond,
            double wrong,
            double restarted,
            boolean heavy,
            int holders,
            long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        SchedulerHost.SchedulingRules rules = new FakeHost().rules;
        int assumedRouters = Math.max(1, (int) Math.round(routers * (1 + wrong)));
        double clock = 100;
        List<Router> fleet = new ArrayList<>();
        double[] share = new double[routers];
        double all = 0;
        for (int each = 0; each < routers; each++) {
            fleet.add(new Router(clock, seed * 1000 + each, assumedRouters, holders));
            share[each] = each % 10 == 0 ? 3 : 1; // some routers get several times the mean load
            all += share[each];
        }
        double startedAt = clock + 20;
        ArrayDeque<Double> window = new ArrayDeque<>();
        double worst = Double.NEGATIVE_INFINITY;
        for (double step = 0.02; clock < startedAt + rules.warmUpSeconds(); ) {
            clock += step;
            boolean starts = clock >= startedAt && clock < startedAt + step;
            for (int each = 0; each < routers; each++) {
                Router router = fleet.get(each);
                if (clock >= startedAt && chance.nextDouble() < restarted * step / rules.warmUpSeconds()) {
                    router = new Router(clock, chance.nextLong(), assumedRouters, holders);
                    router.host.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, startedAt, "cold");
                    fleet.set(each, router);
                }
                router.host.clock = clock;
                router.step();
                if (starts) {
                    router.host.list(ListUpdateKind.INCREMENTAL, LifecycleState.READY, startedAt, "cold");
                }
                double want = requestsPerSecond * step * share[each] / all;
                while (want > 0 && chance.nextDouble() < want) {
                    int cold = router.submit(chance, heavy);
                    for (int one = 0; one < cold && clock >= startedAt; one++) {
                        window.add(clock);
                    }
                    want -= 1;
                }
            }
            while (!window.isEmpty() && window.peek() < clock - rules.overloadWindowSeconds()) {
                window.poll();
            }
            double from = Math.max(0, clock - rules.overloadWindowSeconds() - startedAt) / rules.warmUpSeconds();
            double allowed = rules.overloadFactor()
                    * (rules.coldCapacityShare() + (1 - rules.coldCapacityShare()) * from)
                    * rules.overloadWindowSeconds()
                    / WORK;
            worst = Math.max(worst, window.size() - allowed - 2 * Math.sqrt(allowed) - 2);
        }
        return worst;
    }

    @Test
    void fleetStaysWithinTheWarmUpBudgetAtEverySizeAndDemand() {
        for (int routers : new int[] {1, 2, 7, 12, 20, 30, 60, 100, 200}) {
            for (double demand : new double[] {5, 40, 300}) {
                double over = overrun(routers, demand, 0, 0, false, 6, routers);
                assertTrue(over <= 0, routers + " routers, " + demand + " requests per second: " + over + " over");
            }
        }
    }

    @Test
    void budgetHoldsWithHeavyTailsAndARouterCountThatIsAFifthTooLow() {
        for (int routers : new int[] {10, 30, 100}) {
            double over = overrun(routers, 100, -0.2, 0, true, 4, 3L * routers);
            assertTrue(over <= 0, routers + " routers: " + over + " over");
        }
    }

    @Test
    void routersThatRestartedDuringWarmUpGetNoAdditionalBudget() {
        for (int routers : new int[] {10, 30, 100}) {
            for (double demand : new double[] {40, 300}) {
                double over = overrun(routers, demand, 0, 0.7, false, 4, 5L * routers);
                assertTrue(over <= 0, routers + " routers, " + demand + " requests per second: " + over + " over");
            }
        }
    }
}
