package pinewick.dataplane;

import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;

/** A client exchange that records the response. */
final class RecordedClient implements ClientExchange {
    /** How a response ended. */
    enum Outcome {
        NONE,
        RESPONDED,
        STREAMED,
        ABORTED
    }

    Outcome outcome = Outcome.NONE;
    int status;
    HttpFields fields;
    final StringBuilder body = new StringBuilder();
    boolean streamStarted;
    long pendingBytes;

    @Override
    public void respond(int responseStatus, HttpFields responseFields, byte[] responseBody) {
        require(!streamStarted);
        end(Outcome.RESPONDED);
        status = responseStatus;
        fields = responseFields;
        body.append(new String(responseBody, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void beginStream(int responseStatus, HttpFields responseFields) {
        require(!streamStarted && outcome == Outcome.NONE);
        streamStarted = true;
        status = responseStatus;
        fields = responseFields;
    }

    @Override
    public void forward(byte[] chunk) {
        require(streamStarted && outcome == Outcome.NONE);
        body.append(new String(chunk, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void endStream() {
        require(streamStarted);
        end(Outcome.STREAMED);
    }

    @Override
    public void abort() {
        require(streamStarted);
        end(Outcome.ABORTED);
    }

    @Override
    public long pendingBytes() {
        return pendingBytes;
    }

    private void end(Outcome newOutcome) {
        require(outcome == Outcome.NONE);
        outcome = newOutcome;
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new AssertionError("call to the client exchange in an invalid order");
        }
    }
}
