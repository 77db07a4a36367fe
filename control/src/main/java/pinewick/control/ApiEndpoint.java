package pinewick.control;

import java.util.function.Consumer;

/** Handles one kind of call. */
@FunctionalInterface
interface ApiEndpoint {
    /** Handles a call without blocking; {@code answer} is called once, on any thread. */
    void handle(ApiCall call, Consumer<ApiAnswer> answer);
}
