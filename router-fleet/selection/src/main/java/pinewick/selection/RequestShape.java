package pinewick.selection;

import java.util.List;
import pinewick.model.Route;

/**
 * The properties of a request that the selection depends on.
 *
 * @param route the route that matched the request
 * @param service the service chosen by the route's weights
 * @param generation whether the service has an engine, so that the request has a prefill and a decode
 * @param model name of the model, empty for a plain request
 * @param promptTokens tokens of the prompt, 0 for a plain request
 * @param outputTokens its output limit in tokens, 0 for a plain request
 * @param parts the prompt's parts in order
 * @param arrivedAtMs when the request arrived
 * @param deadlineAtMs the client's deadline or the end of the route's timeout, whichever is earlier
 */
public record RequestShape(
        Route route,
        String service,
        boolean generation,
        String model,
        int promptTokens,
        int outputTokens,
        List<PromptPart> parts,
        double arrivedAtMs,
        double deadlineAtMs) {

    public RequestShape {
        parts = List.copyOf(parts);
    }
}
