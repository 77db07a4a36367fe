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

    /** One mixer with its own view of how many there are. */
    private static final class Mixer {
        final FakeHost host;
        int queries;
        final PriorityQueue<Object[]> answers =
                new PriorityQueue<>((one, other) -> Double.compare((double) one[0], (double) other[0]));

        Mixer(double clock, long seed, int believed, int holders) {
            host = new FakeHost();
            host.clock = clock;
            host.seed = seed;
            host.mixers = believed;
            String[] names = new String[holders];
            for (int each = 0; each < holders; each++) {
                names[each] = each == 0 ? "cold" : "warm-" + each;
            }
            host.open(names);
            host.said.clear();
        }

        /** Takes a query of one part; launches to the cold searcher are counted. */
        int ask(SplittableRandom chance, boolean heavy) {
            Query query = host.take("q" + queries++, 1);
            return launches(query, chance, heavy);
        }

        int launches(Query query, SplittableRandom chance, boolean heavy) {
            int cold = 0;
            for (String line : host.said) {
                if (line.startsWith("launch ")) {
                    cold += line.endsWith(" cold") ? 1 : 0;
                    double took = heavy ? WORK * Math.exp(1.2 * gauss(chance) - 0.72) : WORK;
                    answers.add(new Object[] {host.clock + took, query, line.split(" ")[1], took});
                }
            }
            host.said.clear();
            return cold;
        }

        void step() {
            while (!answers.isEmpty() && (double) answers.peek()[0] <= host.clock) {
                Object[] due = answers.poll();
                ((Query) due[1]).settled((String) due[2], 0, Outcome.FULFILLED, (double) due[3], null);
            }
        }

        private static double gauss(SplittableRandom chance) {
            return Math.sqrt(-2 * Math.log(1 - chance.nextDouble())) * Math.cos(2 * Math.PI * chance.nextDouble());
        }
    }

    /** How far the fullest window went over what it may hold and chance explains; at most 0 where the rule holds. */
    private static double overrun(
            int mixers, double partsASecond, double wrong, double restarted, boolean heavy, int holders, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        SchedulerHost.SchedulingRules rules = new FakeHost().rules;
        int believed = Math.max(1, (int) Math.round(mixers * (1 + wrong)));
        double clock = 100;
        List<Mixer> fleet = new ArrayList<>();
        double[] share = new double[mixers];
        double all = 0;
        for (int each = 0; each < mixers; each++) {
            fleet.add(new Mixer(clock, seed * 1000 + each, believed, holders));
            share[each] = each % 10 == 0 ? 3 : 1; // some see several times the mean
            all += share[each];
        }
        double startedAt = clock + 20;
        ArrayDeque<Double> window = new ArrayDeque<>();
        double worst = Double.NEGATIVE_INFINITY;
        for (double step = 0.02; clock < startedAt + rules.coldTime(); ) {
            clock += step;
            boolean starts = clock >= startedAt && clock < startedAt + step;
            for (int each = 0; each < mixers; each++) {
                Mixer mixer = fleet.get(each);
                if (clock >= startedAt && chance.nextDouble() < restarted * step / rules.coldTime()) {
                    mixer = new Mixer(clock, chance.nextLong(), believed, holders);
                    mixer.host.list(ListUpdateKind.CHANGES, LifecycleState.READY, startedAt, "cold");
                    fleet.set(each, mixer);
                }
                mixer.host.clock = clock;
                mixer.step();
                if (starts) {
                    mixer.host.list(ListUpdateKind.CHANGES, LifecycleState.READY, startedAt, "cold");
                }
                double want = partsASecond * step * share[each] / all;
                while (want > 0 && chance.nextDouble() < want) {
                    int cold = mixer.ask(chance, heavy);
                    for (int one = 0; one < cold && clock >= startedAt; one++) {
                        window.add(clock);
                    }
                    want -= 1;
                }
            }
            while (!window.isEmpty() && window.peek() < clock - rules.fallTime()) {
                window.poll();
            }
            double from = Math.max(0, clock - rules.fallTime() - startedAt) / rules.coldTime();
            double allowed = rules.overloadFactor()
                    * (rules.coldFrom() + (1 - rules.coldFrom()) * from)
                    * rules.fallTime()
                    / WORK;
            worst = Math.max(worst, window.size() - allowed - 2 * Math.sqrt(allowed) - 2);
        }
        return worst;
    }

    @Test
    void theFleetsSumKeepsTheColdBudgetWhateverItsSizeAndDemand() {
        for (int mixers : new int[] {1, 2, 7, 12, 20, 30, 60, 100, 200}) {
            for (double demand : new double[] {5, 40, 300}) {
                double over = overrun(mixers, demand, 0, 0, false, 6, mixers);
                assertTrue(over <= 0, mixers + " mixers, " + demand + " parts a second: " + over + " over");
            }
        }
    }

    @Test
    void heavyTailsAndACountOfMixersThatIsAFifthTooLowAreBorne() {
        for (int mixers : new int[] {10, 30, 100}) {
            double over = overrun(mixers, 100, -0.2, 0, true, 4, 3L * mixers);
            assertTrue(over <= 0, mixers + " mixers: " + over + " over");
        }
    }

    @Test
    void mixersThatRestartedWithinTheColdTimeHaveNoWindfall() {
        for (int mixers : new int[] {10, 30, 100}) {
            for (double demand : new double[] {40, 300}) {
                double over = overrun(mixers, demand, 0, 0.7, false, 4, 5L * mixers);
                assertTrue(over <= 0, mixers + " mixers, " + demand + " parts a second: " + over + " over");
            }
        }
    }
}
