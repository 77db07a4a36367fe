package pinewick.quota;

/** A request for tokens that may wait for its decision. */
public interface PendingGrant {
    /** The client's request no longer waits: the callback is not called any more. */
    void cancel();

    /** Uses the router's own allowance in place of a grant; false if it does not suffice. */
    boolean tryFallbackAllowance(double nowMs);
}
