package pinewick.dataplane;

import org.eclipse.jetty.http.HttpFields;

/** The response side of one client request. One of {@link #respond}, {@link #endStream} and {@link #abort} ends it. */
interface ClientExchange {
    /** Sends a complete response. */
    void respond(int status, HttpFields fields, byte[] body);

    /** Sends the head of a response that is forwarded in chunks. */
    void beginStream(int status, HttpFields fields);

    /** Sends a chunk of the response without waiting for more. */
    void forward(byte[] chunk);

    /** Ends the response that was forwarded in chunks. */
    void endStream();

    /** Closes the connection before the end of the response, so that the client does not take it for complete. */
    void abort();

    /** Number of bytes that were not yet written to the client's connection. */
    long pendingBytes();
}
