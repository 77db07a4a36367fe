package pinewick.dataplane;

import java.nio.ByteBuffer;
import pinewick.model.ReplicaRecord;

/**
 * One call to a replica: its request, its listener and the connection that carries it. Used on the data plane's
 * executor only.
 */
final class UpstreamExchange implements UpstreamCall {
    private final ReplicaRecord replica;
    private final UpstreamRequest request;
    private final CallListener listener;
    private UpstreamConnection connection;
    private boolean ended;

    UpstreamExchange(ReplicaRecord replica, UpstreamRequest request, CallListener listener) {
        this.replica = replica;
        this.request = request;
        this.listener = listener;
    }

    ReplicaRecord replica() {
        return replica;
    }

    UpstreamRequest request() {
        return request;
    }

    boolean isEnded() {
        return ended;
    }

    void assign(UpstreamConnection assigned) {
        connection = assigned;
    }

    @Override
    public boolean isSent() {
        return connection != null;
    }

    @Override
    public void abort() {
        if (!ended) {
            ended = true;
            if (connection != null) {
                connection.closeNow();
            }
        }
    }

    @Override
    public void pauseReading() {
        if (!ended && connection != null) {
            connection.pauseReading();
        }
    }

    @Override
    public void resumeReading() {
        if (!ended && connection != null) {
            connection.resumeReading();
        }
    }

    void notSent(CallListener.NotSent reason) {
        if (!ended) {
            ended = true;
            listener.onNotSent(reason);
        }
    }

    void head(ResponseHead head) {
        if (!ended) {
            listener.onHead(head);
        }
    }

    void content(ByteBuffer content) {
        if (!ended) {
            listener.onContent(content);
        }
    }

    void complete() {
        if (!ended) {
            ended = true;
            listener.onComplete();
        }
    }

    void fail(String reason) {
        if (!ended) {
            ended = true;
            listener.onFailure(reason);
        }
    }
}
