package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimatesTest {
    private static final List<PromptPart> PROMPT =
            List.of(new PromptPart(1, 500), new PromptPart(2, 300), new PromptPart(99, 70));

    private static PrefixCacheEstimates beliefs() {
        PrefixCacheEstimates beliefs = new PrefixCacheEstimates();
        beliefs.setCapacity("a", 10_000);
        return beliefs;
    }

    @Test
    void hintsCarrySharedPartsAndTheUnsharedTokens() {
        PrefixCacheEstimates here = beliefs();
        PrefixCacheEstimates there = beliefs();
        here.recordUse("a", PROMPT, 100);
        List<PrefixHint> hints = here.takeHints(10, 150);
        assertEquals(2, hints.size());
        assertEquals(70, hints.stream().mapToInt(PrefixHint::unsharedTokens).sum());
        assertTrue(hints.stream()
                .allMatch(hint -> hint.ageMs() == 50 && hint.instanceId().equals("a")));
        hints.forEach(hint -> there.applyHint(hint, 1_000));
        assertEquals(800, there.cachedTokens("a", PROMPT));
        assertEquals(870, there.estimate("a").usedTokens());
        assertTrue(there.takeHints(10, 1_000).isEmpty(), "hints are not passed on");
        assertTrue(here.takeHints(10, 200).isEmpty(), "a hint is told once");
    }

    @Test
    void theNewestHintsAreSentFirstAndOldOnesNotAtAll() {
        PrefixCacheEstimates beliefs = beliefs();
        for (int each = 0; each < 20; each++) {
            beliefs.recordUse("a", List.of(new PromptPart(each, 600), new PromptPart(1_000 + each, 10)), each);
        }
        List<PrefixHint> hints = beliefs.takeHints(3, 19);
        assertEquals(List.of(0, 1, 2), hints.stream().map(PrefixHint::ageMs).toList());
        beliefs.recordUse("a", PROMPT, 20);
        assertTrue(beliefs.takeHints(3, 10_000).isEmpty());
    }

    @Test
    void promptsWithFewSharedTokensAreNotAdvertised() {
        PrefixCacheEstimates beliefs = beliefs();
        beliefs.recordUse("a", List.of(new PromptPart(1, 300), new PromptPart(2, 200), new PromptPart(3, 9_000)), 0);
        assertTrue(beliefs.takeHints(10, 0).isEmpty());
        beliefs.recordUse("a", List.of(new PromptPart(1, 300), new PromptPart(4, 300), new PromptPart(3, 9_000)), 0);
        assertEquals(2, beliefs.takeHints(10, 0).size(), "a small part before the rest is told as well");
    }

    @Test
    void aRemovedInstanceIsForgotten() {
        PrefixCacheEstimates beliefs = beliefs();
        beliefs.recordUse("a", PROMPT, 0);
        beliefs.remove("a");
        assertEquals(0, beliefs.cachedTokens("a", PROMPT));
        assertTrue(beliefs.takeHints(10, 1).isEmpty());
        beliefs.applyHint(new PrefixHint("a", 7, 100, 0, 0), 1);
        assertEquals(0, beliefs.cachedTokens("a", PROMPT), "a hint does not bring it back");
    }

    @Test
    void aStartingRouterLearnsWhatIsCached() {
        PrefixCacheEstimates here = beliefs();
        PrefixCacheEstimates there = beliefs();
        here.recordUse("a", PROMPT, 100);
        here.recordUse("a", List.of(new PromptPart(5, 40), new PromptPart(6, 60)), 110);
        List<PromptPart> other = List.of(new PromptPart(7, 700), new PromptPart(8, 30));
        here.recordUse("a", other, 120);
        here.snapshot(100, 200).forEach(hint -> there.applyHint(hint, 1_000));
        assertEquals(800, there.cachedTokens("a", PROMPT));
        assertEquals(700, there.cachedTokens("a", other));
        assertEquals(
                870 + 100 + 730 - 70,
                there.estimate("a").usedTokens(),
                "what pushes others out is told as well, but for what is older than all that is told");
        assertEquals(0, there.cachedTokens("a", List.of(new PromptPart(5, 40), new PromptPart(6, 60))));
        assertEquals(
                List.of(700),
                here.snapshot(1, 200).stream().map(PrefixHint::tokens).toList(),
                "the newest");
    }

    @Test
    void memoryIsBounded() {
        PrefixCacheEstimates beliefs = new PrefixCacheEstimates(100);
        beliefs.setCapacity("a", Long.MAX_VALUE / 4);
        for (int each = 0; each < 5_000; each++) {
            beliefs.recordUse("a", List.of(new PromptPart(each, 600), new PromptPart(100_000 + each, 10)), each);
        }
        assertEquals(100, beliefs.estimate("a").size());
        assertTrue(beliefs.takeHints(10_000, 5_000).size() <= 1_024);
    }
}
