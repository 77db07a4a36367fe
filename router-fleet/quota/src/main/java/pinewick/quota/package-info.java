/**
 * Limits of tenants, counted across the fleet (docs/quotas.md). The primary controller is the {@link
 * pinewick.quota.QuotaCoordinator}: under its lease it grants the tokens of each request from one bucket a tenant. Each
 * router has a {@link pinewick.quota.QuotaClient} that requests them, and a {@link pinewick.quota.FallbackAllowance}
 * that it may use while it reaches no coordinator. No I/O: messages, time and randomness are passed in.
 */
package pinewick.quota;
