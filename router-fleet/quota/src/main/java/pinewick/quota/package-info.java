/**
 * Limits of tenants, enforced across the fleet (docs/quotas.md). The {@link pinewick.quota.QuotaCoordinator} runs at
 * the primary controller: under the primary's lease it grants the tokens of each request from one bucket per tenant.
 * Each router has a {@link pinewick.quota.QuotaClient} that requests them, and a {@link
 * pinewick.quota.FallbackAllowance} that it may use while it reaches no coordinator. No I/O: messages, time and
 * randomness are passed in.
 */
package pinewick.quota;
