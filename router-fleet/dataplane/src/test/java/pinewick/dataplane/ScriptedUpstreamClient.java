package pinewick.dataplane;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import pinewick.model.ReplicaRecord;

/** Records calls to replicas; the test delivers their events. */
final class ScriptedUpstreamClient implements UpstreamClient {
    final List<ScriptedCall> all = new ArrayList<>();

    /** One call and its state. */
    static final class ScriptedCall implements UpstreamCall {
        final ReplicaRecord replica;
        final UpstreamRequest request;
        private final CallListener listener;
        boolean sent;
        boolean finished;
        boolean rejected;
        boolean headReceived;
        boolean paused;
        int nextEvent;

        ScriptedCall(ReplicaRecord replica, UpstreamRequest request, CallListener listener) {
            this.replica = replica;
            this.request = request;
            this.listener = listener;
            String last = request.fields().get(HeaderNames.LAST_EVENT_ID);
            nextEvent = last == null ? 1 : Integer.parseInt(last) + 1;
        }

        boolean isPrefill() {
            return request.fields().contains(HeaderNames.SERVING_STAGE);
        }

        boolean isRelease() {
            return request.method().equals("DELETE");
        }

        /** Whether the replica may have executed the request because of this call. */
        boolean mayHaveExecuted() {
            return sent && !rejected && !isPrefill() && !isRelease();
        }

        @Override
        public boolean isSent() {
            return sent;
        }

        @Override
        public void abort() {
            finished = true;
        }

        @Override
        public void pauseReading() {
            paused = true;
        }

        @Override
        public void resumeReading() {
            paused = false;
        }

        void notSent(CallListener.NotSent reason) {
            finished = true;
            listener.onNotSent(reason);
        }

        void reject() {
            sent = true;
            rejected = true;
            head(503, HttpFields.build().add(HeaderNames.NOT_EXECUTED, "1"));
            complete();
        }

        void head(int status, HttpFields.Mutable fields) {
            sent = true;
            headReceived = true;
            if (request.expectedId() != null) {
                fields.add(HeaderNames.REQUEST_ID, request.expectedId());
            }
            listener.onHead(new ResponseHead(status, fields, true));
        }

        void signedHead(int status, String... namesAndValues) {
            HttpFields.Mutable fields = HttpFields.build().add(HeaderNames.SERVER_SIGNATURE, replica.instanceId());
            for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
                fields.add(namesAndValues[i], namesAndValues[i + 1]);
            }
            head(status, fields);
        }

        void streamHead() {
            signedHead(200, "Content-Type", "text/event-stream");
        }

        void content(String text) {
            if (!finished) {
                listener.onContent(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            }
        }

        void complete() {
            if (!finished) {
                finished = true;
                listener.onComplete();
            }
        }

        void respond(int status, String body) {
            signedHead(status);
            content(body);
            complete();
        }

        void breakConnection() {
            sent = true;
            finished = true;
            listener.onFailure("scripted failure");
        }
    }

    @Override
    public UpstreamCall send(ReplicaRecord replica, UpstreamRequest request, CallListener listener) {
        ScriptedCall call = new ScriptedCall(replica, request, listener);
        all.add(call);
        return call;
    }

    ScriptedCall last() {
        return all.get(all.size() - 1);
    }

    /** Calls that have not ended, without those that release handles. */
    List<ScriptedCall> open() {
        return all.stream().filter(call -> !call.finished && !call.isRelease()).toList();
    }
}
