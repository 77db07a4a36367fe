package pinewick.control;

/** What became of an order to a replica, as far as its answer tells. */
enum OrderOutcome {
    /** It is being carried out, or what it asks for holds already. */
    TAKEN,
    /** Another order is under way, or was taken since the report on which this one rests. */
    CONFLICT,
    /** The replica has seen a higher fencing token: another process has become the holder. */
    FENCED,
    /** Another instance lives at the address. */
    WRONG_INSTANCE,
    /** The replica does not know such an order. */
    INVALID,
    /** Refused for the moment; it was not taken. */
    REFUSED,
    /** It was not sent, because this process may have lost its lease. */
    NOT_SENT,
    /** No answer, or none that tells: it may have been taken. */
    UNKNOWN;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT_STATUS = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** The outcome that an answer with this status tells of. */
    static OrderOutcome ofStatus(int status) {
        return switch (status) {
            case OK, ACCEPTED -> TAKEN;
            case BAD_REQUEST -> INVALID;
            case CONFLICT_STATUS -> CONFLICT;
            case PRECONDITION_FAILED -> FENCED;
            case MISDIRECTED -> WRONG_INSTANCE;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> REFUSED;
            default -> UNKNOWN;
        };
    }
}
