package pinewick.dial;

/**
 * How many connections to one searcher may be opened at once, over all its addresses. No I/O. Danger: when an address
 * returns, a thousand waiting launches would open a thousand connections. Harm: a searcher that returns is filled over
 * some connects, doubling with each that comes up.
 */
public final class ConnectionLimiter {
    private final int most;
    private final int callsAConnection;
    private int open;
    private int racing;
    private int allowed = 1;

    /** @param most connections to the searcher over all its addresses, spares included */
    public ConnectionLimiter(int most, int callsAConnection) {
        if (most < 1 || callsAConnection < 1) {
            throw new IllegalArgumentException("connections and calls a connection: at least one each is expected");
        }
        this.most = most;
        this.callsAConnection = callsAConnection;
    }

    /** Whether another race may begin for so many calls that wait and find no place. */
    public boolean mayOpen(int waiting) {
        int needed = (waiting + callsAConnection - 1) / callsAConnection;
        return racing < allowed && racing < needed && open + racing < most;
    }

    public void began() {
        racing++;
    }

    public void won() {
        racing--;
        open++;
        allowed = Math.min(most, allowed * 2);
    }

    public void lost() {
        racing--;
        allowed = 1;
    }

    /** A spare came up outside any race, or a race's late second; false where it must be closed. */
    public boolean keepsSpare() {
        if (open + racing >= most) {
            return false;
        }
        open++;
        return true;
    }

    public void closed() {
        open--;
        if (open == 0) {
            allowed = 1;
        }
    }

    public int open() {
        return open;
    }

    public int racing() {
        return racing;
    }
}
