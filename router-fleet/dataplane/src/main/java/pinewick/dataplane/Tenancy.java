package pinewick.dataplane;

import pinewick.model.NodeSettings;
import pinewick.model.Outbox;
import pinewick.quota.QuotaPeers;
import pinewick.quota.QuotaPolicy;

/**
 * What the data plane needs for keys and limits of tenants.
 *
 * @param bounds the platform's bounds on keys and configurations
 * @param configurationStatus how well this router knows the configuration
 * @param quotaPolicy the platform's rule on limits
 * @param quotaPeers whom this router may request tokens from
 * @param outbox sends messages to them; any thread
 */
record Tenancy(
        NodeSettings.Bounds bounds,
        ConfigurationStatus configurationStatus,
        QuotaPolicy quotaPolicy,
        QuotaPeers quotaPeers,
        Outbox outbox) {}
