package pinewick.dataplane;

/** A step of a router's start or shutdown that failed, with the peer or address concerned. */
public final class RouterException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String step;
    private final String peer;

    public RouterException(String step, String peer, Throwable cause) {
        super(step + " (" + peer + "): " + cause.getMessage(), cause);
        this.step = step;
        this.peer = peer;
    }

    /** What was being done. */
    public String step() {
        return step;
    }

    /** The address or peer concerned. */
    public String peer() {
        return peer;
    }
}
