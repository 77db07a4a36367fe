package pinewick.control;

import java.util.function.Consumer;

/** Handles the requests of one API operation. */
@FunctionalInterface
interface ApiEndpoint {
    /** Handles a request without blocking; {@code responder} is called exactly once, on any thread. */
    void handle(ApiRequest request, Consumer<ApiResponse> responder);
}
