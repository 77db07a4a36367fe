package pinewick.control;

/** Thrown for an invalid JSON body; names the field that the client has to correct. */
final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;

    InvalidFieldException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
    }

    /** The invalid field; {@code body} if the body as a whole is invalid. */
    String field() {
        return field;
    }
}
