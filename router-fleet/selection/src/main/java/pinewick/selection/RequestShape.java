package pinewick.selection;

import java.util.List;
import pinewick.model.Route;

/**
 * The properties of a request that matter to the selection.
 *
 * @param route the route it came on
 * @param service the service chosen by the route's split
 * @param generation whether the service has an engine, so that the request has a prefill and a decode
 * @param model name of the model, empty for a plain request
 * @param promptTokens tokens of the prompt, 0 for a plain request
 * @param outputTokens its output limit in tokens, 0 for a plain request
 * @param parts the prompt's parts in order
 * @param arrivedAtMs when it arrived
 * @param deadlineAtMs the client's deadline or the end of the route's timeout, whichever is first
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
