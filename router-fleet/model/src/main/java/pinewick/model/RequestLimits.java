package pinewick.model;

/** Limits for clients: sizes of header and body in bytes, time-outs of header and idle connection in milliseconds. */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    /** Used unless the operator configures other limits. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
