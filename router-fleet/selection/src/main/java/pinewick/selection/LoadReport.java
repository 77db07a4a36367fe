package pinewick.selection;

import pinewick.model.Stage;

/**
 * A replica's response to {@code GET /report}, with the time at which it was received.
 *
 * @param stage the stage that the replica serves
 * @param busy whether a stage change is in progress
 * @param callSequence number of stage orders that it has accepted
 * @param waiting requests in its queue
 * @param running requests in progress
 * @param kvUsed tokens of the KV cache that cannot be evicted
 * @param kvTotal size of the KV cache, tokens
 * @param prefillHandles prefilled prompts whose KV cache was not transferred yet
 * @param atMs when it was received
 */
public record LoadReport(
        Stage stage,
        boolean busy,
        long callSequence,
        int waiting,
        int running,
        long kvUsed,
        long kvTotal,
        int prefillHandles,
        double atMs) {}
