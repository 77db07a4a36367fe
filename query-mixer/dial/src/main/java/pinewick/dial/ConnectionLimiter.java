package pinewick.dial;

/**
 * Limits how many connections to one back end are opened at the same time, over all its addresses. No I/O. Without the
 * limit a thousand waiting calls would open a thousand connections when an address recovers. The limit starts at one
 * and doubles with each connection that is established, so the load on a recovering back end ramps up over several
 * connection attempts.
 */
public final class ConnectionLimiter {
    private final int maxConnections;
    private final int callsPerConnection;
    private int openCount;
    private int attemptCount;
    private int allowedAttempts = 1;

    /**
     * @param maxConnections upper bound on connections to the back end over all its addresses, spares included
     * @param callsPerConnection calls that share one connection
     */
    public ConnectionLimiter(int maxConnections, int callsPerConnection) {
        if (maxConnections < 1 || callsPerConnection < 1) {
            throw new IllegalArgumentException("connections and calls per connection: at least 1 of each required");
        }
        this.maxConnections = maxConnections;
        this.callsPerConnection = callsPerConnection;
    }

    /** Whether another connection race may start, given the number of calls that wait without a connection. */
    public boolean canStartAttempt(int waitingCalls) {
        int neededConnections = (waitingCalls + callsPerConnection - 1) / callsPerConnection;
        return attemptCount < allowedAttempts
                && attemptCount < neededConnections
                && openCount + attemptCount < maxConnections;
    }

    public void onAttemptStarted() {
        attemptCount++;
    }

    public void onAttemptSucceeded() {
        attemptCount--;
        openCount++;
        allowedAttempts = Math.min(maxConnections, allowedAttempts * 2);
    }

    public void onAttemptFailed() {
        attemptCount--;
        allowedAttempts = 1;
    }

    /**
     * Registers a connection established outside any race, or as a late second one of a race; false if it must be
     * closed because the limit is reached.
     */
    public boolean acceptSpare() {
        if (openCount + attemptCount >= maxConnections) {
            return false;
        }
        openCount++;
        return true;
    }

    public void onClosed() {
        openCount--;
        if (openCount == 0) {
            allowedAttempts = 1;
        }
    }

    public int openCount() {
        return openCount;
    }

    public int attemptCount() {
        return attemptCount;
    }
}
