package pinewick.quota;

/**
 * What the coordinator has granted and refused to one tenant since it became the coordinator, for operators.
 *
 * @param tenant name of the tenant
 * @param ratePerSecond its limit
 * @param level what could be granted now; below 0 in debt
 * @param granted sum of what was granted
 * @param refused sum of what was refused
 */
public record TenantUsage(String tenant, double ratePerSecond, double level, double granted, double refused) {}
