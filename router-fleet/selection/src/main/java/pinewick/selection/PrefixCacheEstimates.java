package pinewick.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the prefix caches of all replicas, from this router's own calls and from the hints of other routers. The
 * number of entries for each replica is limited, to bound the memory used.
 */
public final class PrefixCacheEstimates {
    /** Maximum number of entries for each replica. */
    public static final int MAX_ENTRIES_PER_REPLICA = 4_000;
    /** Maximum number of hints waiting to be sent; beyond it the oldest are dropped. */
    private static final int MAX_PENDING_HINTS = 1_024;
    /** Hints older than this are not sent. */
    private static final double MAX_HINT_AGE_MS = 5_000;
    /**
     * A use is forwarded only if it is later than the known one by at least this much. A smaller difference hardly
     * changes the order of eviction, and the same hint received over two paths has slightly different ages.
     */
    private static final double MIN_HINT_ADVANCE_MS = 500;

    private final int maxEntries;
    private final Map<String, PrefixCacheEstimate> byInstance = new HashMap<>();
    private final Map<HintKey, HintBody> pendingHints = new LinkedHashMap<>();

    private record HintKey(String instanceId, long chainHash) {}

    private record HintBody(int tokens, double usedAtMs, int unsharedTokens) {}

    public PrefixCacheEstimates() {
        this(MAX_ENTRIES_PER_REPLICA);
    }

    public PrefixCacheEstimates(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Sets the size of a replica's KV cache, tokens. Until it is set, the estimate of the replica stays empty. */
    public void setCapacity(String instanceId, long kvCacheTokens) {
        estimate(instanceId).setCapacity(kvCacheTokens);
    }

    /** Tokens of the leading parts that the replica is estimated to have cached; 0 for an unknown replica. */
    public int cachedTokens(String instanceId, List<PromptPart> parts) {
        PrefixCacheEstimate estimate = byInstance.get(instanceId);
        return estimate == null ? 0 : estimate.cachedTokens(new PromptChain(parts, 0));
    }

    /** Records that the replica has prefilled this prompt or received its KV cache. */
    public void recordUse(String instanceId, List<PromptPart> parts, double nowMs) {
        recordUse(instanceId, new PromptChain(parts, 0), nowMs);
    }

    void recordUse(String instanceId, PromptChain chain, double nowMs) {
        estimate(instanceId).recordUse(chain, nowMs);
        if (!chain.isAdvertised()) {
            return;
        }
        int last = chain.length() - 1;
        for (int part = 0; part < last; part++) {
            int unshared = part == 0 ? chain.tokens(last) : 0;
            enqueueHint(instanceId, chain.hash(part), chain.tokens(part), unshared, nowMs);
        }
    }

    private void enqueueHint(String instanceId, long hash, int tokens, int unshared, double nowMs) {
        HintKey key = new HintKey(instanceId, hash);
        HintBody before = pendingHints.remove(key);
        pendingHints.put(key, new HintBody(tokens, nowMs, unshared + (before == null ? 0 : before.unsharedTokens)));
        if (pendingHints.size() > MAX_PENDING_HINTS) {
            Iterator<HintKey> oldest = pendingHints.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Removes and returns the pending hints, newest first, at most {@code maxHints}. The remaining ones wait for the
     * next call; those that are too old are dropped.
     */
    public List<PrefixHint> takeHints(int maxHints, double nowMs) {
        List<Map.Entry<HintKey, HintBody>> pending = new ArrayList<>(pendingHints.entrySet());
        List<PrefixHint> hints = new ArrayList<>(Math.min(maxHints, pending.size()));
        for (int each = pending.size() - 1; each >= 0 && hints.size() < maxHints; each--) {
            HintKey key = pending.get(each).getKey();
            HintBody body = pending.get(each).getValue();
            pendingHints.remove(key);
            double age = nowMs - body.usedAtMs;
            if (age <= MAX_HINT_AGE_MS) {
                hints.add(new PrefixHint(
                        key.instanceId, key.chainHash, body.tokens, (int) Math.max(0, age), body.unsharedTokens));
            }
        }
        return hints;
    }

    /**
     * The estimates of all replicas as hints, for a router that has just started: the most recently used parts of each
     * replica, newest first, at most {@code maxHints} in total.
     */
    public List<PrefixHint> snapshot(int maxHints, double nowMs) {
        List<PrefixHint> hints = new ArrayList<>();
        int maxHintsPerReplica = maxHints / Math.max(1, byInstance.size());
        byInstance.forEach((instanceId, estimate) -> {
            int hintLimit = hints.size() + maxHintsPerReplica;
            int[] unshared = {0};
            estimate.visitNewest((hash, tokens, isAdvertised, usedAtMs) -> {
                if (isAdvertised && hints.size() < hintLimit) {
                    hints.add(
                            new PrefixHint(instanceId, hash, tokens, (int) Math.max(0, nowMs - usedAtMs), unshared[0]));
                    unshared[0] = 0;
                } else {
                    unshared[0] += tokens;
                }
                return hints.size() < hintLimit;
            });
        });
        return hints;
    }

    /** Applies a hint from another router. Ignored if the replica is unknown. */
    public void applyHint(PrefixHint hint, double nowMs) {
        PrefixCacheEstimate estimate = byInstance.get(hint.instanceId());
        if (estimate == null) {
            return;
        }
        double usedAt = nowMs - hint.ageMs();
        if (hint.unsharedTokens() > 0) {
            estimate.recordUse(
                    ~hint.chainHash() + Double.doubleToLongBits(usedAt), hint.unsharedTokens(), false, usedAt);
        }
        estimate.recordUse(hint.chainHash(), hint.tokens(), true, usedAt);
        estimate.evict();
    }

    /**
     * Applies a hint that other routers may have forwarded. If it is new, it is also enqueued for the next message, so
     * that it reaches routers that its origin does not know. A hint that is already known was forwarded when it was
     * first received.
     */
    public void applyForwardedHint(PrefixHint hint, double nowMs) {
        PrefixCacheEstimate estimate = byInstance.get(hint.instanceId());
        double usedAtMs = nowMs - hint.ageMs();
        if (estimate == null || estimate.lastUseMs(hint.chainHash()) > usedAtMs - MIN_HINT_ADVANCE_MS) {
            return;
        }
        applyHint(hint, nowMs);
        enqueueHint(hint.instanceId(), hint.chainHash(), hint.tokens(), hint.unsharedTokens(), usedAtMs);
    }

    /** Removes an instance, with its estimate and its pending hints. */
    public void remove(String instanceId) {
        byInstance.remove(instanceId);
        pendingHints.keySet().removeIf(key -> key.instanceId.equals(instanceId));
    }

    PrefixCacheEstimate estimate(String instanceId) {
        return byInstance.computeIfAbsent(instanceId, id -> new PrefixCacheEstimate(maxEntries));
    }
}
