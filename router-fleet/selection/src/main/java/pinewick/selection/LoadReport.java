package pinewick.selection;

import pinewick.model.Stage;

/**
 * A replica's {@code GET /report}, with the time at which it was asked for.
 *
 * @param stage the stage that it serves
 * @param busy whether a stage change is in progress
 * @param callSequence stage orders accepted
 * @param waiting requests in its queue
 * @param running requests in progress
 * @param kvUsed tokens of KV cache that cannot be evicted
 * @param kvTotal tokens of KV cache
 * @param prefillHandles prefilled prompts that were not transferred yet
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
