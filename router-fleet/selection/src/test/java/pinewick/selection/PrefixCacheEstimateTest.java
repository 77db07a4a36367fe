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

    private static PrefixCacheEstimate belief(long capacity) {
        PrefixCacheEstimate belief = new PrefixCacheEstimate(4_000);
        belief.setCapacity(capacity);
        return belief;
    }

    @Test
    void aPartIsUsefulOnlyIfEveryEarlierPartIsCached() {
        PrefixCacheEstimate belief = belief(10_000);
        belief.recordUse(chain(1, 2, 3), 0);
        assertEquals(300, belief.cachedTokens(chain(1, 2, 3)));
        assertEquals(200, belief.cachedTokens(chain(1, 2, 9)));
        assertEquals(0, belief.cachedTokens(chain(9, 2, 3)));
        assertEquals(0, belief.cachedTokens(chain(2, 3)));
    }

    @Test
    void theLastPartsAreEvictedFirst() {
        PrefixCacheEstimate belief = belief(300);
        belief.recordUse(chain(1, 2, 3), 0);
        belief.recordUse(chain(1, 4), 1);
        assertEquals(200, belief.cachedTokens(chain(1, 4)));
        assertEquals(200, belief.cachedTokens(chain(1, 2, 3)));
    }

    @Test
    void withoutCapacityNothingIsCached() {
        PrefixCacheEstimate belief = belief(0);
        belief.recordUse(chain(1, 2), 0);
        assertEquals(0, belief.cachedTokens(chain(1, 2)));
    }

    @Test
    void aCacheMissEvictsAllEarlierUses() {
        PrefixCacheEstimate belief = belief(1_000);
        belief.recordUse(chain(1), 1);
        belief.recordUse(chain(2), 2);
        belief.recordUse(chain(3), 3);
        belief.onMiss(2);
        assertEquals(0, belief.cachedTokens(chain(1)));
        assertEquals(0, belief.cachedTokens(chain(2)));
        assertEquals(100, belief.cachedTokens(chain(3)));
        for (int each = 10; each < 30; each++) {
            belief.recordUse(chain(each), each);
        }
        assertTrue(belief.usedTokens() <= 900, "less room is believed: " + belief.usedTokens());
    }

    @Test
    void anEarlierUseIsInsertedInOrder() {
        PrefixCacheEstimate belief = belief(300);
        belief.recordUse(chain(1), 10);
        belief.recordUse(chain(2), 20);
        belief.recordUse(chain(3).hash(0), 100, true, 5);
        belief.recordUse(chain(4), 30);
        assertEquals(0, belief.cachedTokens(chain(3)));
        assertEquals(100, belief.cachedTokens(chain(1)));
        belief.recordUse(chain(1).hash(0), 100, true, 1);
        belief.recordUse(chain(5), 40);
        assertEquals(0, belief.cachedTokens(chain(1)), "older news must not make it look newer, and 10 is the oldest");
        assertEquals(100, belief.cachedTokens(chain(2)));
    }

    /** Against a map that keeps its entries in the order of use. */
    @Property(tries = 200)
    void agreesWithAPlainList(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int room) {
        Random random = new Random(seed);
        PrefixCacheEstimate belief = new PrefixCacheEstimate(25);
        belief.setCapacity(room * 100L);
        Map<Long, Integer> reference = new LinkedHashMap<>(16, 0.75f, true);
        for (int step = 0; step < 400; step++) {
            PromptChain chain = chain(random.nextInt(12), random.nextInt(4), random.nextInt(30));
            if (random.nextInt(100) == 0) {
                belief.clear();
                reference.clear();
            }
            int expected = 0;
            while (expected < chain.length() && reference.containsKey(chain.hash(expected))) {
                expected++;
            }
            assertEquals(expected, belief.cachedParts(chain));
            belief.recordUse(chain, step);
            for (int part = chain.length() - 1; part >= 0; part--) {
                reference.put(chain.hash(part), 100);
            }
            Iterator<Long> oldest = reference.keySet().iterator();
            while (reference.size() > Math.min(25, room)) {
                oldest.next();
                oldest.remove();
            }
            assertEquals(reference.size(), belief.size());
            assertEquals(100L * reference.size(), belief.usedTokens());
        }
    }
}
