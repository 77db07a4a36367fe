package pinewick.control;

import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;

/** Runs the part of a call that belongs on the control loop. */
final class LoopCall {
    private LoopCall() {}

    /** Runs {@code task} on the loop; should it fail, the caller gets an answer all the same. */
    static void run(TaskLoop loop, Consumer<ApiAnswer> answer, Runnable task) {
        loop.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                answer.accept(ApiAnswer.error(HttpStatus.INTERNAL_SERVER_ERROR_500, "the call has failed"));
                throw e;
            }
        });
    }
}
