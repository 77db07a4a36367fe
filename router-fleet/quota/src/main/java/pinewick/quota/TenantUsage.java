package pinewick.quota;

/**
 * What the coordinator has granted and refused to one tenant since it became the coordinator; shown to operators.
 *
 * @param tenant name of the tenant
 * @param ratePerSecond rate of its limit, 0 if its configuration has been removed
 * @param level tokens in its bucket; negative while the bucket is in debt
 * @param granted sum of the costs that were granted
 * @param refused sum of the costs that were refused
 */
public record TenantUsage(String tenant, double ratePerSecond, double level, double granted, double refused) {}
