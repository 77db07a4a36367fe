package pinewick.dataplane;

import org.eclipse.jetty.http.HttpFields;

/** The client's side of one request. One of {@link #respond}, {@link #endStream} and {@link #abort} ends it. */
interface ClientExchange {
    /** Sends a complete response. */
    void respond(int status, HttpFields fields, byte[] body);

    /** Sends the head of a response that is forwarded in chunks. */
    void beginStream(int status, HttpFields fields);

    /** Sends a chunk of it at once. */
    void forward(byte[] chunk);

    /** The response is complete. */
    void endStream();

    /** Closes the connection so that the response does not look complete. */
    void abort();

    /** Bytes that were not yet written to the client's connection. */
    long pendingBytes();
}
