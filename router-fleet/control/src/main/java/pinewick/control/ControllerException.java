package pinewick.control;

/**
 * Thrown if a controller cannot be started. Names the step and the address, path or settings field that an operator
 * has to correct; the cause is the underlying error.
 */
public final class ControllerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String step;

    public ControllerException(String step, String subject, Throwable cause) {
        super(step + " (" + subject + ") failed: " + cause.getMessage(), cause);
        this.step = step;
    }

    /** The step that failed, for example {@code listen}. */
    public String step() {
        return step;
    }
}
