package pinewick.dataplane;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.Stage;
import pinewick.selection.CallKind;
import pinewick.selection.LoadReport;
import pinewick.selection.PrefixHint;
import pinewick.selection.SharedServiceTime;

/**
 * Load reports that a router has polled or received, and hints about prefix caches; sent to other routers. Best effort:
 * a router that receives none relies on its own measurements.
 *
 * @param reports load reports since the last message
 * @param hints prompts that replicas have prefilled or received since the last message
 */
public record LoadReportMessage(List<SharedReport> reports, List<PrefixHint> hints) implements Message {

    public LoadReportMessage {
        reports = List.copyOf(reports);
        hints = List.copyOf(hints);
    }

    /**
     * The message types that routers send each other, in the order of their ids on the wire; new types are appended.
     */
    public static List<Class<?>> types() {
        return List.of(
                SharedReport.class,
                PrefixHint.class,
                LoadReportMessage.class,
                PrefixCacheSnapshotRequest.class,
                PrefixCacheSnapshot.class,
                CallKind.class,
                SharedServiceTime.class,
                ServiceTimesMessage.class);
    }

    /**
     * A load report as sent between routers: with its age, since a timestamp of the sender's clock would mean nothing
     * to the receiver.
     *
     * @param instanceId the replica
     * @param stage the stage that it serves
     * @param busy whether a stage change is in progress
     * @param callSequence stage orders accepted
     * @param waiting requests in its queue
     * @param running requests in progress
     * @param kvUsed tokens of KV cache that cannot be evicted
     * @param kvTotal tokens of KV cache
     * @param prefillHandles prefilled prompts that were not yet transferred
     * @param ageMs age of the report when the message was sent, milliseconds
     */
    public record SharedReport(
            String instanceId,
            Stage stage,
            boolean busy,
            long callSequence,
            int waiting,
            int running,
            long kvUsed,
            long kvTotal,
            int prefillHandles,
            int ageMs) {

        static SharedReport of(String instanceId, LoadReport report, double nowMs) {
            return new SharedReport(
                    instanceId,
                    report.stage(),
                    report.busy(),
                    report.callSequence(),
                    report.waiting(),
                    report.running(),
                    report.kvUsed(),
                    report.kvTotal(),
                    report.prefillHandles(),
                    (int) Math.max(0, nowMs - report.atMs()));
        }

        LoadReport toReport(double nowMs) {
            return new LoadReport(
                    stage, busy, callSequence, waiting, running, kvUsed, kvTotal, prefillHandles, nowMs - ageMs);
        }
    }
}
