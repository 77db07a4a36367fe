package pinewick.dataplane;

import java.nio.ByteBuffer;

/**
 * Receives the events of a call to a replica. Exactly one of {@link #onNotSent}, {@link #onComplete} and
 * {@link #onFailure} ends a call; after an abort no event is delivered.
 */
interface CallListener {
    /** Why no byte of a call was sent. */
    enum NotSent {
        /** No connection could be made. */
        NOT_CONNECTED,
        /** All connections to the replica that this router may open are in use. */
        NO_CONNECTION_FREE,
        /** The replica started to drain while the connection was being established. */
        REPLICA_DRAINING
    }

    /** No byte of the request was sent. */
    void onNotSent(NotSent reason);

    /** The head of the response to this request arrived. */
    void onHead(ResponseHead head);

    /** A chunk of the response body; the buffer may be used only during this invocation. */
    void onContent(ByteBuffer content);

    /** The response is complete. */
    void onComplete();

    /**
     * Bytes of the request were sent, and the connection failed or delivered bytes that are not the response.
     *
     * @param reason what happened, for diagnosis
     */
    void onFailure(String reason);
}
