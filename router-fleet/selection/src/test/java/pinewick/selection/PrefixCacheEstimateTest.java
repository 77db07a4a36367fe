package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimateTest {
    private static PromptChain chain(long... ids) {
        List<PromptPart> parts = new ArrayList<>();
        for (long id : ids) {
            parts.add(new PromptPart(id, 100));
        }
        return new PromptChain(parts, 0);
    }

    private static PrefixCacheEstimate estimate(long capacity) {
        PrefixCacheEstimate estimate = new PrefixCacheEstimate(4_000);
        estimate.setCapacity(capacity);
        return estimate;
    }

    @Test
    void aPartIsUsefulOnlyIfEveryEarlierPartIsCached() {
        PrefixCacheEstimate estimate = estimate(10_000);
        estimate.recordUse(chain(1, 2, 3), 0);
        assertEquals(300, estimate.cachedTokens(chain(1, 2, 3)));
        assertEquals(200, estimate.cachedTokens(chain(1, 2, 9)));
        assertEquals(0, estimate.cachedTokens(chain(9, 2, 3)));
        assertEquals(0, estimate.cachedTokens(chain(2, 3)));
    }

    @Test
    void theLastPartsAreEvictedFirst() {
        PrefixCacheEstimate estimate = estimate(300);
        estimate.recordUse(chain(1, 2, 3), 0);
        estimate.recordUse(chain(1, 4), 1);
        assertEquals(200, estimate.cachedTokens(chain(1, 4)));
        assertEquals(200, estimate.cachedTokens(chain(1, 2, 3)));
    }

    @Test
    void withoutCapacityNothingIsCached() {
        PrefixCacheEstimate estimate = estimate(0);
        estimate.recordUse(chain(1, 2), 0);
        assertEquals(0, estimate.cachedTokens(chain(1, 2)));
    }

    @Test
    void aCacheMissEvictsAllEarlierUses() {
        PrefixCacheEstimate estimate = estimate(1_000);
        estimate.recordUse(chain(1), 1);
        estimate.recordUse(chain(2), 2);
        estimate.recordUse(chain(3), 3);
        estimate.onMiss(2);
        assertEquals(0, estimate.cachedTokens(chain(1)));
        assertEquals(0, estimate.cachedTokens(chain(2)));
        assertEquals(100, estimate.cachedTokens(chain(3)));
        for (int each = 10; each < 30; each++) {
            estimate.recordUse(chain(each), each);
        }
        assertTrue(estimate.usedTokens() <= 900, "less usable capacity is assumed: " + estimate.usedTokens());
    }

    @Test
    void anEarlierUseIsInsertedInOrder() {
        PrefixCacheEstimate estimate = estimate(300);
        estimate.recordUse(chain(1), 10);
        estimate.recordUse(chain(2), 20);
        estimate.recordUse(chain(3).hash(0), 100, true, 5);
        estimate.recordUse(chain(4), 30);
        assertEquals(0, estimate.cachedTokens(chain(3)));
        assertEquals(100, estimate.cachedTokens(chain(1)));
        estimate.recordUse(chain(1).hash(0), 100, true, 1);
        estimate.recordUse(chain(5), 40);
        assertEquals(
                0,
                estimate.cachedTokens(chain(1)),
                "an earlier use must not change the last one, and 10 is the earliest");
        assertEquals(100, estimate.cachedTokens(chain(2)));
    }

    /** Compares the estimate with a map in access order. */
    @Property(tries = 200)
    void agreesWithAMapInAccessOrder(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int maxParts) {
        Random random = new Random(seed);
        PrefixCacheEstimate estimate = new PrefixCacheEstimate(25);
        estimate.setCapacity(maxParts * 100L);
        Map<Long, Integer> reference = new LinkedHashMap<>(16, 0.75f, true);
        for (int step = 0; step < 400; step++) {
            PromptChain chain = chain(random.nextInt(12), random.nextInt(4), random.nextInt(30));
            if (random.nextInt(100) == 0) {
                estimate.clear();
                reference.clear();
            }
            int expected = 0;
            while (expected < chain.length() && reference.containsKey(chain.hash(expected))) {
                expected++;
            }
            assertEquals(expected, estimate.cachedParts(chain));
            estimate.recordUse(chain, step);
            for (int part = chain.length() - 1; part >= 0; part--) {
                reference.put(chain.hash(part), 100);
            }
            Iterator<Long> oldest = reference.keySet().iterator();
            while (reference.size() > Math.min(25, maxParts)) {
                oldest.next();
                oldest.remove();
            }
            assertEquals(reference.size(), estimate.size());
            assertEquals(100L * reference.size(), estimate.usedTokens());
        }
    }
}
