package pinewick.control;

import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Finds the endpoint of a request and starts an {@link ApiExchange} for it. Never blocks, so that it can run on the
 * selector thread.
 */
final class ApiHandler extends Handler.Abstract.NonBlocking {
    private static final long MAX_BODIES_BYTES = 10 * 1024 * 1024;

    private final Map<ApiOperation, ApiEndpoint> endpoints;
    private final BodyBudget bodies = new BodyBudget(MAX_BODIES_BYTES);
    private final long bodyTimeoutMs;
    private final InFlightRequests inFlightRequests = new InFlightRequests();
    private volatile boolean closing;

    /**
     * @param bodyTimeoutMs time within which a client has to send the request body, milliseconds
     */
    ApiHandler(Map<ApiOperation, ApiEndpoint> endpoints, long bodyTimeoutMs) {
        this.endpoints = Map.copyOf(endpoints);
        this.bodyTimeoutMs = bodyTimeoutMs;
    }

    /** Rejects new requests with 503 from now on, so that clients call another controller. */
    void rejectNewRequests() {
        closing = true;
    }

    /** The number of requests without a response. */
    int requestsInFlight() {
        return inFlightRequests.inFlight();
    }

    /** Waits until every request has a response or the time-out has passed. */
    void awaitRequests(long timeoutMs) {
        inFlightRequests.awaitIdle(timeoutMs);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        inFlightRequests.onStart();
        ApiExchange exchange = new ApiExchange(
                request, response, new CompletionCallback(callback), bodies.newReservation(), () -> closing);
        Optional<ApiOperation.Match> match = ApiOperation.find(Request.getPathInContext(request));
        if (match.isEmpty()) {
            exchange.respond(ApiResponse.error(HttpStatus.NOT_FOUND_404, "no such path"));
            return true;
        }
        ApiOperation operation = match.get().operation();
        if (!operation.method().equals(request.getMethod())) {
            response.getHeaders().put(HttpHeader.ALLOW, operation.method());
            exchange.respond(ApiResponse.error(HttpStatus.METHOD_NOT_ALLOWED_405, "method not allowed"));
            return true;
        }
        exchange.start(match.get(), endpoints.get(operation), getServer().getScheduler(), bodyTimeoutMs);
        return true;
    }

    /** Counts a request as completed once its response has been passed to the connection. */
    private final class CompletionCallback extends Callback.Nested {
        CompletionCallback(Callback callback) {
            super(callback);
        }

        @Override
        public void succeeded() {
            super.succeeded();
            inFlightRequests.onEnd();
        }

        @Override
        public void failed(Throwable cause) {
            super.failed(cause);
            inFlightRequests.onEnd();
        }
    }
}
