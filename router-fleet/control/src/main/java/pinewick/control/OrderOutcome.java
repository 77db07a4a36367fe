package pinewick.control;

/** The outcome of an order to a replica, according to its response. */
enum OrderOutcome {
    /** The order is being carried out, or the replica is already in the requested state. */
    ACCEPTED,
    /** Another order is in progress, or was accepted after the report on which this order is based. */
    CONFLICT,
    /** The replica has seen a higher fencing token: another process has become the lease holder. */
    FENCED,
    /** Another instance is running at the address. */
    WRONG_INSTANCE,
    /** The replica does not support the order. */
    INVALID,
    /** The order was not accepted, but a later one may be. */
    REJECTED,
    /** The order was not sent, because this process may have lost its lease. */
    NOT_SENT,
    /** No response, or an ambiguous one: the order may have been accepted. */
    UNKNOWN;

    private static final int OK = 200;
    private static final int ACCEPTED_STATUS = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT_STATUS = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** The outcome that an HTTP status represents. */
    static OrderOutcome ofStatus(int status) {
        return switch (status) {
            case OK, ACCEPTED_STATUS -> ACCEPTED;
            case BAD_REQUEST -> INVALID;
            case CONFLICT_STATUS -> CONFLICT;
            case PRECONDITION_FAILED -> FENCED;
            case MISDIRECTED -> WRONG_INSTANCE;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> REJECTED;
            default -> UNKNOWN;
        };
    }
}
