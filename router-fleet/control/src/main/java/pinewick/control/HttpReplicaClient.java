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
 * Sends requests to replicas over HTTP. Each request has its own connection and its own id, so that a late or
 * duplicate response is never taken for the response to another request. Connections are closed by a reset: an order
 * that is delayed by a partition is dropped with its connection, and does not arrive long after the lease has
 * expired. A response without a length ends with its connection; the client cannot distinguish a reset from an orderly
 * close, but a truncated report is not a complete JSON object and is rejected.
 */
final class HttpReplicaClient implements ReplicaClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 5;
    private static final String EXPECTED_INSTANCE = "X-Pinewick-Expected-Instance";
    private static final String REQUEST_ID = "X-Pinewick-Request-Id";
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_THREADS = 4;
    private static final int MAX_CONNECTIONS = 4;

    private final HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(new ResettingConnector()));
    private final TaskLoop loop;

    HttpReplicaClient(TaskLoop loop) throws ControllerException {
        this.loop = loop;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setReservedThreads(0);
        threads.setName("replica-calls");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setConnectTimeout(TIMEOUT_MS);
        client.getTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS);
            pool.setMaxUsage(1);
            return pool;
        });
        try {
            client.start();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new ControllerException("start the client", "calls to replicas", e);
        }
    }

    @Override
    public void requestReport(ReplicaRecord replica, Consumer<Optional<ReplicaLoad>> onReport) {
        Request request = request(HttpMethod.GET, replica.address(), "/report", replica.instanceId());
        request.send(new ResponseHandler(reply -> onReport.accept(
                reply.filter(usable -> usable.status == HttpStatus.OK_200).flatMap(ok -> parse(replica, ok.body)))));
    }

    @Override
    public void orderStage(
            ReplicaLoad replica,
            Stage stage,
            FencingTokens.Fence fence,
            BooleanSupplier isLeaseHeld,
            Consumer<OrderOutcome> onOutcome) {
        JsonObject order = new JsonObject();
        order.addProperty("operation", "stage");
        order.addProperty("stage", stage.wireName());
        order.addProperty("holder", fence.leaseHolder());
        order.addProperty("fencing_token", fence.token());
        order.addProperty("if_revision", replica.acceptedOrders());
        LeaseCheck leaseCheck = new LeaseCheck(isLeaseHeld);
        request(HttpMethod.POST, replica.address(), "/order", replica.instanceId())
                .body(new StringRequestContent("application/json", order.toString()))
                .onRequestBegin(leaseCheck)
                .send(new ResponseHandler(
                        reply -> onOutcome.accept(leaseCheck.aborted ? OrderOutcome.NOT_SENT : outcomeOf(reply))));
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
            // Jetty's lifecycle methods declare Exception; a failure must not prevent the process from ending.
            LOGGER.atWarning().withCause(e).log("closing the replica client failed");
        }
    }

    private static Optional<ReplicaLoad> parse(ReplicaRecord replica, byte[] body) {
        try {
            return Optional.of(HeartbeatParser.parseReport(replica, body));
        } catch (InvalidFieldException e) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "report rejected: replica %s: %s", replica.instanceId(), e.getMessage());
            return Optional.empty();
        }
    }

    /** Aborts a request if the lease has expired by the time the connection is established. */
    private static final class LeaseCheck implements Request.BeginListener {
        private final BooleanSupplier isLeaseHeld;
        private volatile boolean aborted;

        LeaseCheck(BooleanSupplier isLeaseHeld) {
            this.isLeaseHeld = isLeaseHeld;
        }

        @Override
        public void onBegin(Request request) {
            if (!isLeaseHeld.getAsBoolean()) {
                aborted = true;
                request.abort(new IllegalStateException("the lease has expired"));
            }
        }
    }

    private static OrderOutcome outcomeOf(Optional<Reply> reply) {
        return reply.map(usable -> OrderOutcome.ofStatus(usable.status)).orElse(OrderOutcome.UNKNOWN);
    }

    /** A response that arrived in time and belongs to the request. */
    private record Reply(int status, byte[] body) {}

    /** Passes the reply to the control loop; empty if there is no usable one. */
    private final class ResponseHandler extends BufferingResponseListener {
        private final Consumer<Optional<Reply>> onReply;

        ResponseHandler(Consumer<Optional<Reply>> onReply) {
            super(MAX_RESPONSE_BYTES);
            this.onReply = onReply;
        }

        @Override
        public void onComplete(Result result) {
            boolean isUsable = !result.isFailed() && isReplyTo(result.getRequest(), result.getResponse());
            byte[] body = getContent() == null ? new byte[0] : getContent();
            Optional<Reply> reply =
                    isUsable ? Optional.of(new Reply(result.getResponse().getStatus(), body)) : Optional.empty();
            loop.execute(() -> onReply.accept(reply));
        }

        /** A response that carries the id of another request does not belong to this one. */
        private static boolean isReplyTo(Request request, Response response) {
            String namedRequestId = response.getHeaders().get(REQUEST_ID);
            return namedRequestId == null
                    || namedRequestId.equals(request.getHeaders().get(REQUEST_ID));
        }
    }
}
