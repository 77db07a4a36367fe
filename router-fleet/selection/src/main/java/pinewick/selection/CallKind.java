package pinewick.selection;

import pinewick.model.Stage;

/** The kinds of calls to replicas. */
public enum CallKind {
    /** A request of a service without an engine. */
    PLAIN,
    /** Prefill only. */
    PREFILL,
    /** Decode of a prompt whose KV cache is transferred from a prefill replica (disaggregated serving). */
    DISAGGREGATED_DECODE,
    /** Prefill and decode at the same decode replica (aggregated serving). */
    AGGREGATED_DECODE;

    /** The stage of the replicas that serve such calls. */
    Stage stage() {
        return switch (this) {
            case PLAIN -> Stage.NONE;
            case PREFILL -> Stage.PREFILL;
            case DISAGGREGATED_DECODE, AGGREGATED_DECODE -> Stage.DECODE;
        };
    }
}
