package pinewick.model;

import java.util.Locale;
import java.util.Optional;

/** The stage of text generation that a replica serves. */
public enum Stage {
    /** Processes prompts (prefill) and keeps their KV cache until a decode replica fetches it. */
    PREFILL,
    /** Generates tokens (decode), and prefills short prompts without a prefill replica. */
    DECODE,
    /** The replica belongs to a service without an engine. */
    NONE;

    /** The name on the wire, in lower case. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Parses a name from the wire. A null or empty name means {@link #NONE}; an unknown name gives an empty result. */
    public static Optional<Stage> parse(String wireName) {
        if (wireName == null || wireName.isEmpty()) {
            return Optional.of(NONE);
        }
        for (Stage stage : values()) {
            if (stage.wireName().equals(wireName)) {
                return Optional.of(stage);
            }
        }
        return Optional.empty();
    }
}
