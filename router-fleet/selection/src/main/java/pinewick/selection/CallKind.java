package pinewick.selection;

import pinewick.model.Stage;

/** What one call to a replica asks for. */
public enum CallKind {
    /** A request of a service without an engine. */
    PLAIN,
    /** Prefill only. */
    PREFILL,
    /** Decode of a prompt whose KV cache is transferred from a prefill replica (disaggregated serving). */
    DISAGGREGATED_DECODE,
    /** Prefill and decode at the same decode replica (aggregated serving). */
    AGGREGATED_DECODE;

    /** The stage of the replicas that take such calls. */
    Stage stage() {
        return switch (this) {
            case PLAIN -> Stage.NONE;
            case PREFILL -> Stage.PREFILL;
            case DISAGGREGATED_DECODE, AGGREGATED_DECODE -> Stage.DECODE;
        };
    }
}
