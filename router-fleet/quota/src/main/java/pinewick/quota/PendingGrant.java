package pinewick.quota;

/** Handle of a request for tokens, which may still be waiting for its decision. */
public interface PendingGrant {
    /** Withdraws the request; its callback is not called any more. Without effect once the request is decided. */
    void cancel();

    /**
     * Uses the router's {@link FallbackAllowance} in place of a grant; the request stays pending.
     *
     * @return false if the allowance does not suffice
     */
    boolean tryFallbackAllowance(double nowMs);
}
