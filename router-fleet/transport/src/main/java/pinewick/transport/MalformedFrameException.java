package pinewick.transport;

/**
 * Thrown for bytes that are not a frame of this protocol version or do not contain a registered message. The frame is
 * ignored and counted; a high count means that processes of incompatible releases run together.
 */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String reason) {
        super(reason);
    }

    MalformedFrameException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
