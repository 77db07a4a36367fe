package pinewick.dataplane;

import pinewick.model.NodeSettings;
import pinewick.model.Outbox;
import pinewick.quota.QuotaPeers;
import pinewick.quota.QuotaPolicy;

/**
 * What the data plane needs to authenticate tenants and to enforce their quotas.
 *
 * @param bounds the platform's bounds on keys and configurations
 * @param configurationStatus whether and when this router's configuration was confirmed
 * @param quotaPolicy the platform's policy for quotas
 * @param quotaPeers the processes from which this router may request tokens
 * @param outbox sends messages to them; may be used on any thread
 */
record Tenancy(
        NodeSettings.Bounds bounds,
        ConfigurationStatus configurationStatus,
        QuotaPolicy quotaPolicy,
        QuotaPeers quotaPeers,
        Outbox outbox) {}
