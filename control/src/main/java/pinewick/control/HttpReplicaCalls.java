package pinewick.control;

import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonObject;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Calls to replicas over HTTP. Each call has a connection and an id of its own, so that no late or second answer to
 * another one can be taken for its answer. Connections are reset when they are closed: an order that a cut holds up is
 * lost with its connection, and does not arrive long after its lease. An answer without a length ends with its
 * connection; the client does not tell a reset from an end, but a report that was cut off is no whole JSON object.
 */
final class HttpReplicaCalls implements ReplicaCalls {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 5;
    private static final String EXPECTED_INSTANCE = "X-Pinewick-Expected-Instance";
    private static final String REQUEST_ID = "X-Pinewick-Request-Id";
    private static final int LARGEST_ANSWER = 64 * 1024;
    private static final int MOST_THREADS = 4;
    private static final int MOST_CONNECTIONS = 4;

    private final HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(new ResettingConnector()));
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
        client.getTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MOST_CONNECTIONS);
            pool.setMaxUsage(1);
            return pool;
        });
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
    public void orderStage(
            ReplicaLoad replica,
            Stage stage,
            FencingTokens.Fence fence,
            BooleanSupplier mayStillSend,
            Consumer<OrderOutcome> outcome) {
        JsonObject order = new JsonObject();
        order.addProperty("operation", "stage");
        order.addProperty("stage", stage.wireName());
        order.addProperty("holder", fence.holder());
        order.addProperty("fencing_token", fence.token());
        order.addProperty("if_revision", replica.orders());
        SendingCheck check = new SendingCheck(mayStillSend);
        request(HttpMethod.POST, replica.address(), "/order", replica.instanceId())
                .body(new StringRequestContent("application/json", order.toString()))
                .onRequestBegin(check)
                .send(new Answer((status, body) ->
                        outcome.accept(check.stopped ? OrderOutcome.NOT_SENT : OrderOutcome.ofStatus(status))));
    }

    private Request request(HttpMethod method, SocketAddress address, String path, String instanceId) {
        return client.newRequest(address.host(), address.port())
                .method(method)
                .path(path)
                .headers(headers -> headers.put(EXPECTED_INSTANCE, instanceId)
                        .put(REQUEST_ID, UUID.randomUUID().toString())
                        .put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()))
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

    /** Stops a request that may not be sent any more when its connection has come about. */
    private static final class SendingCheck implements Request.BeginListener {
        private final BooleanSupplier mayStillSend;
        private volatile boolean stopped;

        SendingCheck(BooleanSupplier mayStillSend) {
            this.mayStillSend = mayStillSend;
        }

        @Override
        public void onBegin(Request request) {
            if (!mayStillSend.getAsBoolean()) {
                stopped = true;
                request.abort(new IllegalStateException("the lease is not held any more"));
            }
        }
    }

    /** Told a status, 0 for none, and a body. */
    private interface AnswerListener {
        void answered(int status, byte[] body);
    }

    private final class Answer extends BufferingResponseListener {
        private static final int NONE = 0;

        private final AnswerListener listener;

        Answer(AnswerListener listener) {
            super(LARGEST_ANSWER);
            this.listener = listener;
        }

        @Override
        public void onComplete(Result result) {
            boolean counts = !result.isFailed() && answers(result.getRequest(), result.getResponse());
            int status = counts ? result.getResponse().getStatus() : NONE;
            byte[] body = getContent() == null ? new byte[0] : getContent();
            loop.execute(() -> listener.answered(status, body));
        }

        /** An answer that names another request is not the one to this. */
        private static boolean answers(Request request, Response response) {
            String named = response.getHeaders().get(REQUEST_ID);
            return named == null || named.equals(request.getHeaders().get(REQUEST_ID));
        }
    }
}
