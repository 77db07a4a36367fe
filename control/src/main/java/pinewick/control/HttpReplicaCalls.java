package pinewick.control;

import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonObject;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/** Calls to replicas over HTTP. */
final class HttpReplicaCalls implements ReplicaCalls {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 5;
    private static final String EXPECTED_INSTANCE = "X-Pinewick-Expected-Instance";
    private static final long TIMEOUT_MS = 1_000;
    private static final int LARGEST_ANSWER = 64 * 1024;
    private static final int MOST_THREADS = 4;

    private final HttpClient client = new HttpClient();
    private final TaskLoop loop;

    HttpReplicaCalls(TaskLoop loop) throws ControllerException {
        this.loop = loop;
        QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, 1);
        threads.setReservedThreads(0);
        threads.setName("replica-calls");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setConnectTimeout(TIMEOUT_MS);
        try {
            client.start();
        } catch (Exception e) {
            throw new ControllerException("start the client", "calls to replicas", e);
        }
    }

    @Override
    public void report(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> answer) {
        Request request = request(HttpMethod.GET, replica.address(), "/report", replica.instanceId());
        request.send(new Answer((status, body) ->
                answer.accept(status == HttpStatus.OK_200 ? parse(replica, body) : Optional.empty())));
    }

    @Override
    public void orderStage(ReplicaLoad replica, Stage stage, FencingTokens.Fence fence, Consumer<Integer> status) {
        JsonObject order = new JsonObject();
        order.addProperty("operation", "stage");
        order.addProperty("stage", stage.wireName());
        order.addProperty("holder", fence.holder());
        order.addProperty("fencing_token", fence.token());
        order.addProperty("if_revision", replica.orders());
        request(HttpMethod.POST, replica.address(), "/order", replica.instanceId())
                .body(new StringRequestContent("application/json", order.toString()))
                .send(new Answer((code, body) -> status.accept(code)));
    }

    private Request request(HttpMethod method, SocketAddress address, String path, String instanceId) {
        return client.newRequest(address.host(), address.port())
                .method(method)
                .path(path)
                .headers(headers -> headers.put(EXPECTED_INSTANCE, instanceId))
                .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes every connection. */
    void close() {
        try {
            client.stop();
        } catch (Exception e) {
            logger.atWarning().withCause(e).log("stop the client");
        }
    }

    private static Optional<ReplicaLoad> parse(ReplicaRecord replica, byte[] body) {
        try {
            return Optional.of(HeartbeatParser.parseReport(replica, body));
        } catch (InvalidFieldException e) {
            logger.atWarning().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
                    "report of %s: %s", replica.instanceId(), e.getMessage());
            return Optional.empty();
        }
    }

    /** Told a status, 0 for none, and a body. */
    private interface AnswerListener {
        void answered(int status, byte[] body);
    }

    private final class Answer extends BufferingResponseListener {
        private final AnswerListener listener;

        Answer(AnswerListener listener) {
            super(LARGEST_ANSWER);
            this.listener = listener;
        }

        @Override
        public void onComplete(Result result) {
            int status = result.isFailed() ? 0 : result.getResponse().getStatus();
            byte[] body = getContent() == null ? new byte[0] : getContent();
            loop.execute(() -> listener.answered(status, body));
        }
    }
}
