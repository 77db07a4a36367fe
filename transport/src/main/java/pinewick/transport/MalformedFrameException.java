package pinewick.transport;

/** Bytes that are no frame of this protocol version, or that carry no known message. */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String reason) {
        super(reason);
    }

    MalformedFrameException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
