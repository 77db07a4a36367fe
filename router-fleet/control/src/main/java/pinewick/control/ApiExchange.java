package pinewick.control;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One request to the HTTP API and its response. The first of the endpoint, a time-out or a failure determines the
 * response; later ones are ignored. Thread-safe.
 */
final class ApiExchange implements BodyReader.Listener {
    private static final String BASE_VERSION = "X-Pinewick-Base-Version";
    private static final String JSON = "application/json";

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final BodyBudget.Reservation reservation;
    private final BooleanSupplier isClosing;
    private final AtomicBoolean responded = new AtomicBoolean();
    private ApiOperation.Match match;
    private ApiEndpoint endpoint;

    /**
     * @param callback completed once the response has been handed to the connection
     * @param reservation the memory reservation for the body; released when the response is written
     * @param isClosing whether the controller is shutting down, so that new requests are rejected
     */
    ApiExchange(
            Request request,
            Response response,
            Callback callback,
            BodyBudget.Reservation reservation,
            BooleanSupplier isClosing) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.reservation = reservation;
        this.isClosing = isClosing;
    }

    /** Reads the body, then calls the endpoint. */
    void start(ApiOperation.Match found, ApiEndpoint handler, Scheduler scheduler, long bodyTimeoutMs) {
        match = found;
        endpoint = handler;
        int maxBytes = found.operation().maxBodyBytes();
        new BodyReader(request, maxBytes, reservation, this).start(scheduler, bodyTimeoutMs);
    }

    @Override
    public void onComplete(byte[] body) {
        if (isClosing.getAsBoolean()) {
            respondAndClose(ApiResponse.unavailable("this controller is shutting down"));
            return;
        }
        Optional<String> baseVersion = Optional.ofNullable(request.getHeaders().get(BASE_VERSION));
        String path = request.getHttpURI().getPathQuery();
        ApiRequest apiRequest = new ApiRequest(path, match.instanceId(), baseVersion, body);
        try {
            endpoint.handle(apiRequest, this::respond);
        } catch (RuntimeException e) {
            // Boundary to the endpoints: the client gets a response whatever fails there; Jetty logs the failure.
            respond(ApiResponse.error(HttpStatus.INTERNAL_SERVER_ERROR_500, "the request failed"));
            throw e;
        }
    }

    @Override
    public void onTooLarge() {
        int maxBytes = match.operation().maxBodyBytes();
        respondAndClose(ApiResponse.error(HttpStatus.PAYLOAD_TOO_LARGE_413, "body over " + maxBytes + " bytes"));
    }

    @Override
    public void onBudgetExhausted() {
        respondAndClose(ApiResponse.unavailable("too many requests with large bodies at once"));
    }

    @Override
    public void onTimeout() {
        respondAndClose(ApiResponse.error(HttpStatus.REQUEST_TIMEOUT_408, "body not sent in time"));
    }

    @Override
    public void onFailure(Throwable cause) {
        if (claimResponse()) {
            callback.failed(cause);
        }
    }

    private void respondAndClose(ApiResponse apiResponse) {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        respond(apiResponse);
    }

    /** Writes the response, unless one has already been written. */
    void respond(ApiResponse apiResponse) {
        if (!claimResponse()) {
            return;
        }
        response.setStatus(apiResponse.status());
        apiResponse.location().ifPresent(location -> response.getHeaders().put(HttpHeader.LOCATION, location));
        if (apiResponse.body().length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, apiResponse.body().length);
        response.write(true, ByteBuffer.wrap(apiResponse.body()), callback);
    }

    private boolean claimResponse() {
        boolean isFirst = responded.compareAndSet(false, true);
        if (isFirst) {
            reservation.release();
        }
        return isFirst;
    }
}
