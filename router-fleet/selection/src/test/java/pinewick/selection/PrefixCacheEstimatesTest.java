package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimatesTest {
    private static final List<PromptPart> PROMPT =
            List.of(new PromptPart(1, 500), new PromptPart(2, 300), new PromptPart(99, 70));

    private static PrefixCacheEstimates estimates() {
        PrefixCacheEstimates estimates = new PrefixCacheEstimates();
        estimates.setCapacity("a", 10_000);
        return estimates;
    }

    @Test
    void hintsCarrySharedPartsAndTheUnsharedTokens() {
        PrefixCacheEstimates local = estimates();
        PrefixCacheEstimates remote = estimates();
        local.recordUse("a", PROMPT, 100);
        List<PrefixHint> hints = local.takeHints(10, 150);
        assertEquals(2, hints.size());
        assertEquals(70, hints.stream().mapToInt(PrefixHint::unsharedTokens).sum());
        assertTrue(hints.stream()
                .allMatch(hint -> hint.ageMs() == 50 && hint.instanceId().equals("a")));
        hints.forEach(hint -> remote.applyHint(hint, 1_000));
        assertEquals(800, remote.cachedTokens("a", PROMPT));
        assertEquals(870, remote.estimate("a").usedTokens());
        assertTrue(remote.takeHints(10, 1_000).isEmpty(), "hints are not forwarded");
        assertTrue(local.takeHints(10, 200).isEmpty(), "a hint is sent once");
    }

    @Test
    void theNewestHintsAreSentFirstAndOldOnesNotAtAll() {
        PrefixCacheEstimates estimates = estimates();
        for (int each = 0; each < 20; each++) {
            estimates.recordUse("a", List.of(new PromptPart(each, 600), new PromptPart(1_000 + each, 10)), each);
        }
        List<PrefixHint> hints = estimates.takeHints(3, 19);
        assertEquals(List.of(0, 1, 2), hints.stream().map(PrefixHint::ageMs).toList());
        estimates.recordUse("a", PROMPT, 20);
        assertTrue(estimates.takeHints(3, 10_000).isEmpty());
    }

    @Test
    void promptsWithFewSharedTokensAreNotAdvertised() {
        PrefixCacheEstimates estimates = estimates();
        estimates.recordUse("a", List.of(new PromptPart(1, 300), new PromptPart(2, 200), new PromptPart(3, 9_000)), 0);
        assertTrue(estimates.takeHints(10, 0).isEmpty());
        estimates.recordUse("a", List.of(new PromptPart(1, 300), new PromptPart(4, 300), new PromptPart(3, 9_000)), 0);
        assertEquals(2, estimates.takeHints(10, 0).size(), "a small part before the others is advertised as well");
    }

    @Test
    void aRemovedInstanceIsForgotten() {
        PrefixCacheEstimates estimates = estimates();
        estimates.recordUse("a", PROMPT, 0);
        estimates.remove("a");
        assertEquals(0, estimates.cachedTokens("a", PROMPT));
        assertTrue(estimates.takeHints(10, 1).isEmpty());
        estimates.applyHint(new PrefixHint("a", 7, 100, 0, 0), 1);
        assertEquals(0, estimates.cachedTokens("a", PROMPT), "a hint does not bring it back");
    }

    @Test
    void aSnapshotTellsAStartingRouterWhatIsCached() {
        PrefixCacheEstimates local = estimates();
        PrefixCacheEstimates remote = estimates();
        local.recordUse("a", PROMPT, 100);
        local.recordUse("a", List.of(new PromptPart(5, 40), new PromptPart(6, 60)), 110);
        List<PromptPart> other = List.of(new PromptPart(7, 700), new PromptPart(8, 30));
        local.recordUse("a", other, 120);
        local.snapshot(100, 200).forEach(hint -> remote.applyHint(hint, 1_000));
        assertEquals(800, remote.cachedTokens("a", PROMPT));
        assertEquals(700, remote.cachedTokens("a", other));
        assertEquals(
                870 + 100 + 730 - 70,
                remote.estimate("a").usedTokens(),
                "unshared tokens are included, except those older than every advertised part");
        assertEquals(0, remote.cachedTokens("a", List.of(new PromptPart(5, 40), new PromptPart(6, 60))));
        assertEquals(
                List.of(700),
                local.snapshot(1, 200).stream().map(PrefixHint::tokens).toList(),
                "the newest one");
    }

    @Test
    void memoryIsBounded() {
        PrefixCacheEstimates estimates = new PrefixCacheEstimates(100);
        estimates.setCapacity("a", Long.MAX_VALUE / 4);
        for (int each = 0; each < 5_000; each++) {
            estimates.recordUse("a", List.of(new PromptPart(each, 600), new PromptPart(100_000 + each, 10)), each);
        }
        assertEquals(100, estimates.estimate("a").size());
        assertTrue(estimates.takeHints(10_000, 5_000).size() <= 1_024);
    }
}
