package pinewick.dataplane;

import java.util.function.Consumer;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.quota.PendingGrant;
import pinewick.quota.QuotaClient;
import pinewick.quota.QuotaDecision;

/** Runs the {@link QuotaClient} of this router on the data plane's executor, with a timer while requests wait. */
final class TenantQuotas {
    private static final double TICK_MS = 20;

    private final QuotaClient client;
    private final Timers timers;
    private boolean tickScheduled;

    TenantQuotas(QuotaClient client, Timers timers) {
        this.client = client;
        this.timers = timers;
    }

    /** Requests a grant for the charge of a client request; the callback may run during this call. */
    PendingGrant request(QuotaCharge charge, Consumer<QuotaDecision> callback) {
        PendingGrant pending = client.request(charge.tenant(), charge.limit(), charge.cost(), callback, timers.nowMs());
        scheduleTick();
        return pending;
    }

    private void scheduleTick() {
        if (!tickScheduled && client.hasPendingRequests()) {
            tickScheduled = true;
            timers.schedule(TICK_MS, this::tick);
        }
    }

    private void tick() {
        tickScheduled = false;
        try {
            client.onTick(timers.nowMs());
        } finally {
            scheduleTick();
        }
    }

    /** Handles a message of another process about quotas. */
    void onMessage(SocketAddress sender, Message message) {
        client.onMessage(sender, message, timers.nowMs());
    }
}
