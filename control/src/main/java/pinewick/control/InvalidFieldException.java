package pinewick.control;

/** A JSON body that cannot be taken, with the field that is wrong. */
final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;

    InvalidFieldException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
    }

    /** The field that is wrong; {@code body} for the body as a whole. */
    String field() {
        return field;
    }
}
