package pinewick.selection;

/**
 * This router's part of the retry budget that all routers share: arrivals at a service beyond the first of each request
 * stay under ratio times its requests plus slack, over every window of {@code windowMs}. First form: none are allowed.
 */
public final class RetryBudget {
    public RetryBudget(double ratio, double slack, double windowMs) {}

    /** The most routers that may be sharing the slack. */
    public void setRouterCount(int upperBound) {}

    /** A client's request for a service was taken in. */
    public void onRequest(String service, double nowMs) {}

    /** Takes one extra arrival at a service from the budget; false if there is none left. */
    public boolean tryTake(String service, double nowMs) {
        return false;
    }
}
