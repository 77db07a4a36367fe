package pinewick.dataplane;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.selection.LoadReport;
import pinewick.selection.PrefixHint;
import pinewick.selection.ReplicaSelector;

/**
 * Collects this router's load reports and hints for the other routers, and applies theirs. Without I/O; used on the
 * data plane's executor only.
 */
final class LoadReportExchange {
    /** Hints in one message, which fits a datagram. */
    private static final int MAX_HINTS_PER_MESSAGE = 24;

    private final ReplicaSelector selector;
    private final Map<String, LoadReport> unsentReports = new LinkedHashMap<>();

    LoadReportExchange(ReplicaSelector selector) {
        this.selector = selector;
    }

    /** This router has polled a report. */
    void onReport(String instanceId, LoadReport report) {
        selector.onLoadReport(instanceId, report);
        unsentReports.remove(instanceId);
        unsentReports.put(instanceId, report);
    }

    /** The reports and hints since the last call, empty if there are none. */
    Optional<LoadReportMessage> takeMessage(double nowMs) {
        List<PrefixHint> hints = selector.cacheEstimates().takeHints(MAX_HINTS_PER_MESSAGE, nowMs);
        if (unsentReports.isEmpty() && hints.isEmpty()) {
            return Optional.empty();
        }
        List<LoadReportMessage.SharedReport> reports = new ArrayList<>(unsentReports.size());
        unsentReports.forEach(
                (instanceId, report) -> reports.add(LoadReportMessage.SharedReport.of(instanceId, report, nowMs)));
        unsentReports.clear();
        return Optional.of(new LoadReportMessage(reports, hints));
    }

    /** A message of another router arrived. */
    void onMessage(LoadReportMessage message, double nowMs) {
        message.reports().forEach(report -> selector.onLoadReport(report.instanceId(), report.toReport(nowMs)));
        message.hints().forEach(hint -> selector.cacheEstimates().applyHint(hint, nowMs));
    }
}
