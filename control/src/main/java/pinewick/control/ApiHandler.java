package pinewick.control;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Finds the endpoint of a request, reads the body and writes the answer. Never blocks, so that it runs on the
 * thread that selects, without a hand-over to another.
 */
final class ApiHandler extends Handler.Abstract.NonBlocking {
    private static final String BASE_VERSION = "X-Pinewick-Base-Version";
    private static final String JSON = "application/json";

    private static final long MOST_BODY_BYTES = 10 * 1024 * 1024;

    private final Map<ApiOperation, ApiEndpoint> endpoints;
    private final BodyBudget bodies = new BodyBudget(MOST_BODY_BYTES);
    private final long bodyDeadlineMs;
    private final CallCount calls = new CallCount();
    private volatile boolean closing;

    /**
     * @param bodyDeadlineMs how long a caller may take to send its body, milliseconds
     */
    ApiHandler(Map<ApiOperation, ApiEndpoint> endpoints, long bodyDeadlineMs) {
        this.endpoints = Map.copyOf(endpoints);
        this.bodyDeadlineMs = bodyDeadlineMs;
    }

    /** From now on new calls are told to go to another controller. */
    void refuseNewCalls() {
        closing = true;
    }

    /** Calls that have not been answered yet. */
    int callsInProgress() {
        return calls.inProgress();
    }

    /** Waits until every call has been answered, or the time is over. */
    void awaitCalls(long mostMs) {
        calls.awaitNone(mostMs);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Exchange exchange = new Exchange(request, response, callback);
        Optional<ApiOperation.Match> match = ApiOperation.find(Request.getPathInContext(request));
        if (match.isEmpty()) {
            exchange.end(ApiAnswer.error(HttpStatus.NOT_FOUND_404, "no such path"));
            return true;
        }
        ApiOperation operation = match.get().operation();
        if (!operation.method().equals(request.getMethod())) {
            response.getHeaders().put(HttpHeader.ALLOW, operation.method());
            exchange.end(ApiAnswer.error(HttpStatus.METHOD_NOT_ALLOWED_405, "not called by this method"));
            return true;
        }
        exchange.readBody(match.get());
        return true;
    }

    /** One request and its answer. */
    private final class Exchange implements BodyReader.Listener {
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final AtomicBoolean answered = new AtomicBoolean();
        private final BodyBudget.Share memory = bodies.newShare();
        private ApiOperation.Match match;

        Exchange(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = callback;
            calls.begin();
        }

        void readBody(ApiOperation.Match found) {
            match = found;
            int maxBytes = found.operation().maxBodyBytes();
            BodyReader reader = new BodyReader(request, maxBytes, memory, this);
            reader.start(getServer().getScheduler(), bodyDeadlineMs);
        }

        @Override
        public void complete(byte[] body) {
            if (closing) {
                endAndClose(ApiAnswer.unavailable("this controller is stopping"));
                return;
            }
            String baseVersion = request.getHeaders().get(BASE_VERSION);
            String path = request.getHttpURI().getPathQuery();
            ApiCall call = new ApiCall(path, match.instanceId(), baseVersion, body);
            try {
                endpoints.get(match.operation()).handle(call, this::end);
            } catch (RuntimeException e) {
                end(ApiAnswer.error(HttpStatus.INTERNAL_SERVER_ERROR_500, "the call has failed"));
                throw e;
            }
        }

        @Override
        public void tooLarge() {
            int maxBytes = match.operation().maxBodyBytes();
            endAndClose(ApiAnswer.error(HttpStatus.PAYLOAD_TOO_LARGE_413, "body over " + maxBytes + " bytes"));
        }

        @Override
        public void noRoom() {
            endAndClose(ApiAnswer.unavailable("too many calls with large bodies at once"));
        }

        @Override
        public void late() {
            endAndClose(ApiAnswer.error(HttpStatus.REQUEST_TIMEOUT_408, "body not sent in time"));
        }

        @Override
        public void failed(Throwable cause) {
            if (firstAnswer()) {
                new Ending(callback).failed(cause);
            }
        }

        private void endAndClose(ApiAnswer answer) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            end(answer);
        }

        private void end(ApiAnswer answer) {
            if (!firstAnswer()) {
                return;
            }
            response.setStatus(answer.status());
            answer.location().ifPresent(location -> response.getHeaders().put(HttpHeader.LOCATION, location));
            if (answer.body().length > 0) {
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
            }
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
            response.write(true, ByteBuffer.wrap(answer.body()), new Ending(callback));
        }

        private boolean firstAnswer() {
            boolean first = answered.compareAndSet(false, true);
            if (first) {
                memory.release();
            }
            return first;
        }
    }

    /** Counts a call as ended once its answer has been handed to the connection. */
    private final class Ending extends Callback.Nested {
        Ending(Callback callback) {
            super(callback);
        }

        @Override
        public void succeeded() {
            super.succeeded();
            calls.end();
        }

        @Override
        public void failed(Throwable cause) {
            super.failed(cause);
            calls.end();
        }
    }
}
