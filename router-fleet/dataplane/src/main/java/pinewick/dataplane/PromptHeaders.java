package pinewick.dataplane;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import pinewick.selection.PromptPart;

/**
 * The prompt of a request as described by its header fields. Fields that cannot be parsed count as absent, because they
 * are used for the choice of replicas only.
 *
 * @param model name of the model, empty if unknown
 * @param promptTokens number of tokens of the prompt, 0 if unknown
 * @param outputTokens maximum number of output tokens, 0 if unknown
 * @param parts parts of the prompt in order
 */
record PromptHeaders(String model, int promptTokens, int outputTokens, List<PromptPart> parts) {
    private static final int HEX_RADIX = 16;

    static PromptHeaders parse(HttpFields fields) {
        String model = fields.get(HeaderNames.MODEL);
        String counts = fields.get(HeaderNames.TOKEN_COUNT);
        int comma = counts == null ? -1 : counts.indexOf(',');
        int prompt = comma < 0 ? 0 : number(counts.substring(0, comma));
        int output = comma < 0 ? 0 : number(counts.substring(comma + 1));
        return new PromptHeaders(
                model == null ? "" : model, prompt, output, parseParts(fields.get(HeaderNames.PROMPT_PREFIX)));
    }

    private static List<PromptPart> parseParts(String text) {
        if (text == null || text.isEmpty()) {
            return List.of();
        }
        List<PromptPart> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.indexOf(':');
            if (colon < 0) {
                return List.of();
            }
            try {
                long id = Long.parseUnsignedLong(part.substring(0, colon).trim(), HEX_RADIX);
                parts.add(new PromptPart(id, number(part.substring(colon + 1))));
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        return parts;
    }

    private static int number(String text) {
        try {
            return Math.max(0, Integer.parseInt(text.trim()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
