package pinewick.lab.demo;

/** An expected event of the demo did not occur, or not in time. */
final class DemoFailedException extends Exception {
    private static final long serialVersionUID = 1;

    DemoFailedException(String message) {
        super(message);
    }
}
