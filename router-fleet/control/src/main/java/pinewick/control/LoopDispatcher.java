package pinewick.control;

import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;

/** Runs the part of a request that has to run on the control loop. */
final class LoopDispatcher {
    private LoopDispatcher() {}

    /** Runs {@code task} on the loop; if it throws, the request is answered with 500. */
    static void dispatch(TaskLoop loop, Consumer<ApiResponse> responder, Runnable task) {
        loop.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // Boundary to HTTP clients: the request gets a response before the loop logs the failure.
                responder.accept(ApiResponse.error(HttpStatus.INTERNAL_SERVER_ERROR_500, "the call has failed"));
                throw e;
            }
        });
    }
}
