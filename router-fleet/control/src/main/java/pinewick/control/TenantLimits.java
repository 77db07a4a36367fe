package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import pinewick.dissemination.FleetStateListener;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaCoordinator;
import pinewick.quota.QuotaMessages.QuotaReply;
import pinewick.quota.QuotaMessages.QuotaRequest;
import pinewick.quota.QuotaPolicy;
import pinewick.quota.TenantUsage;

/**
 * Grants tenant quotas at a controller: takes the limits from the configuration, and grants quotas while this
 * process has the authority to do so.
 */
final class TenantLimits implements FleetStateListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final QuotaCoordinator coordinator;
    private final TaskLoop loop;

    TenantLimits(QuotaPolicy policy, TaskLoop loop) {
        this.coordinator = new QuotaCoordinator(policy);
        this.loop = loop;
    }

    @Override
    public void onConfigurationChanged(ConfigurationDocument document) {
        try {
            coordinator.setTenants(ConfigurationChecks.toTenants(document), loop.nowMs());
        } catch (InvalidConfigurationException e) {
            LOGGER.atSevere().withCause(e).log(
                    "tenants of configuration %d cannot be read, the previous limits stay in force",
                    document.version());
        }
    }

    /**
     * @param tenure identifies the period in which only this process may grant quotas; empty if it currently may
     *     not
     */
    void setAuthority(Optional<Long> tenure) {
        coordinator.setAuthority(tenure, loop.nowMs());
    }

    QuotaReply decide(SocketAddress sender, QuotaRequest request, Optional<SocketAddress> primary) {
        return coordinator.decide(sender, request, primary, loop.nowMs());
    }

    /** The granted and refused quota by tenant. */
    List<TenantUsage> usage() {
        return coordinator.usage(loop.nowMs());
    }
}
