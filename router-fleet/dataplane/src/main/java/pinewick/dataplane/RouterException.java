package pinewick.dataplane;

/** Thrown when a step of a router's start or shutdown fails; names the step and the peer or address concerned. */
public final class RouterException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String step;
    private final String peer;

    public RouterException(String step, String peer, Throwable cause) {
        super(step + " (" + peer + "): " + cause.getMessage(), cause);
        this.step = step;
        this.peer = peer;
    }

    /** The step that failed. */
    public String step() {
        return step;
    }

    /** The address or peer concerned. */
    public String peer() {
        return peer;
    }
}
