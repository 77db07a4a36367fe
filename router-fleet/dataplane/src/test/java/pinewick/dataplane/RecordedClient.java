package pinewick.dataplane;

import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;

/** A client that keeps what it is told. */
final class RecordedClient implements ClientExchange {
    /** How an answer came to its end. */
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
    public void respond(int answerStatus, HttpFields answerFields, byte[] answerBody) {
        require(!streamStarted);
        end(Outcome.RESPONDED);
        status = answerStatus;
        fields = answerFields;
        body.append(new String(answerBody, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void beginStream(int answerStatus, HttpFields answerFields) {
        require(!streamStarted && outcome == Outcome.NONE);
        streamStarted = true;
        status = answerStatus;
        fields = answerFields;
    }

    @Override
    public void forward(byte[] piece) {
        require(streamStarted && outcome == Outcome.NONE);
        body.append(new String(piece, StandardCharsets.ISO_8859_1));
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

    private void end(Outcome how) {
        require(outcome == Outcome.NONE);
        outcome = how;
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new AssertionError("the client was told something out of turn");
        }
    }
}
