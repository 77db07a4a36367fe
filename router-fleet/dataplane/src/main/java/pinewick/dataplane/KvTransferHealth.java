package pinewick.dataplane;

import java.util.HashMap;
import java.util.Map;

/**
 * A circuit breaker for KV transfers, one per service. After consecutive rejections by decode replicas, serving is
 * aggregated and one transfer is attempted per backoff period.
 */
final class KvTransferHealth {
    private static final int MAX_CONSECUTIVE_REJECTIONS = 3;
    private static final double BACKOFF_MS = 1_000;

    private final Map<String, RejectionStreak> streaks = new HashMap<>();

    private static final class RejectionStreak {
        int count;
        double retryAtMs;
    }

    /** Whether a request may be served disaggregated now. */
    boolean isTransferAllowed(String service, double nowMs) {
        RejectionStreak streak = streaks.get(service);
        if (streak == null || streak.count < MAX_CONSECUTIVE_REJECTIONS) {
            return true;
        }
        if (nowMs < streak.retryAtMs) {
            return false;
        }
        streak.retryAtMs = nowMs + BACKOFF_MS;
        return true;
    }

    /** A decode replica has received the KV cache of a prompt. */
    void onTransferred(String service) {
        streaks.remove(service);
    }

    /** A decode replica could not fetch the KV cache, or had no capacity for it. */
    void onRejected(String service, double nowMs) {
        RejectionStreak streak = streaks.computeIfAbsent(service, name -> new RejectionStreak());
        streak.count++;
        streak.retryAtMs = nowMs + BACKOFF_MS;
    }

    /** Whether a handle that was rejected may be offered to another decode replica. */
    boolean mayRetryTransfer(String service) {
        RejectionStreak streak = streaks.get(service);
        return streak == null || streak.count < MAX_CONSECUTIVE_REJECTIONS;
    }
}
