package pinewick.dataplane;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pinewick.selection.CallKind;
import pinewick.selection.LoadReport;
import pinewick.selection.PrefixHint;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.SharedServiceTime;

/**
 * Collects load reports and hints for the other routers, and applies theirs. In a large fleet it forwards what was new
 * here ({@link LoadReportTargets}). Without I/O; used on the data plane's executor only.
 */
final class LoadReportExchange {
    /** Hints and reports in one message, which fits a datagram. */
    private static final int MAX_HINTS_PER_MESSAGE = 20;

    private static final int MAX_REPORTS_PER_MESSAGE = 12;
    /** Reports older than this are not sent on: a queue of that time is gone. */
    private static final double MAX_REPORT_AGE_MS = 1_500;
    /** A report is new here if it is later than the one known by at least this. */
    private static final double MIN_REPORT_ADVANCE_MS = 100;
    /** Hints with which a router starts: the prefixes used last at all replicas. */
    private static final int MAX_HINTS_PER_SNAPSHOT = 800;

    private final ReplicaSelector selector;
    private final Map<String, LoadReport> unsentReports = new LinkedHashMap<>();
    /** The paces that other routers know of, from this one or from others. */
    private final Set<ServiceTimeKey> announcedServiceTimes = new HashSet<>();

    private final List<SharedServiceTime> unsentServiceTimes = new ArrayList<>();

    private record ServiceTimeKey(String service, CallKind kind) {
        static ServiceTimeKey of(SharedServiceTime serviceTime) {
            return new ServiceTimeKey(serviceTime.service(), serviceTime.kind());
        }
    }

    LoadReportExchange(ReplicaSelector selector) {
        this.selector = selector;
    }

    /** This router has polled a report. */
    void onReport(String instanceId, LoadReport report) {
        selector.onLoadReport(instanceId, report);
        enqueue(instanceId, report);
    }

    private void enqueue(String instanceId, LoadReport report) {
        unsentReports.remove(instanceId);
        unsentReports.put(instanceId, report);
    }

    /** What is to be sent now: the newest reports and hints, empty if there are none. The rest waits. */
    Optional<LoadReportMessage> takeMessage(double nowMs) {
        List<PrefixHint> hints = selector.cacheEstimates().takeHints(MAX_HINTS_PER_MESSAGE, nowMs);
        List<LoadReportMessage.SharedReport> reports = takeReports(nowMs);
        return reports.isEmpty() && hints.isEmpty()
                ? Optional.empty()
                : Optional.of(new LoadReportMessage(reports, hints));
    }

    private List<LoadReportMessage.SharedReport> takeReports(double nowMs) {
        unsentReports.values().removeIf(report -> nowMs - report.atMs() > MAX_REPORT_AGE_MS);
        List<LoadReportMessage.SharedReport> reports = new ArrayList<>(MAX_REPORTS_PER_MESSAGE);
        Iterator<Map.Entry<String, LoadReport>> unsent =
                unsentReports.entrySet().iterator();
        while (unsent.hasNext() && reports.size() < MAX_REPORTS_PER_MESSAGE) {
            Map.Entry<String, LoadReport> each = unsent.next();
            reports.add(LoadReportMessage.SharedReport.of(each.getKey(), each.getValue(), nowMs));
            unsent.remove();
        }
        return reports;
    }

    /**
     * A message of another router arrived.
     *
     * @param forward whether what is new here is sent on
     */
    void onMessage(LoadReportMessage message, boolean forward, double nowMs) {
        for (LoadReportMessage.SharedReport shared : message.reports()) {
            onSharedReport(shared.instanceId(), shared.toReport(nowMs), forward, nowMs);
        }
        for (PrefixHint hint : message.hints()) {
            if (forward) {
                selector.cacheEstimates().applyForwardedHint(hint, nowMs);
            } else {
                selector.cacheEstimates().applyHint(hint, nowMs);
            }
        }
    }

    private void onSharedReport(String instanceId, LoadReport report, boolean forward, double nowMs) {
        double knownAtMs = nowMs - selector.loadReportAgeMs(instanceId, nowMs);
        selector.onLoadReport(instanceId, report);
        if (forward && report.atMs() - knownAtMs >= MIN_REPORT_ADVANCE_MS) {
            enqueue(instanceId, report);
        }
    }

    /** The paces to be sent now, empty if there are none: each is told when this router is the first to know it. */
    Optional<ServiceTimesMessage> takeServiceTimes() {
        for (SharedServiceTime serviceTime : selector.serviceTimes()) {
            if (announcedServiceTimes.add(ServiceTimeKey.of(serviceTime))) {
                unsentServiceTimes.add(serviceTime);
            }
        }
        if (unsentServiceTimes.isEmpty()) {
            return Optional.empty();
        }
        ServiceTimesMessage message = new ServiceTimesMessage(unsentServiceTimes);
        unsentServiceTimes.clear();
        return Optional.of(message);
    }

    /**
     * Another router has told of paces.
     *
     * @param forward whether what is new here is sent on
     */
    void onServiceTimes(ServiceTimesMessage message, boolean forward) {
        for (SharedServiceTime serviceTime : message.serviceTimes()) {
            boolean isNew = selector.onSharedServiceTime(serviceTime);
            boolean isFirst = announcedServiceTimes.add(ServiceTimeKey.of(serviceTime));
            if (forward && isNew && isFirst) {
                unsentServiceTimes.add(serviceTime);
            }
        }
    }

    /** What a router that has just started is told of service times. */
    ServiceTimesMessage allServiceTimes() {
        return new ServiceTimesMessage(selector.serviceTimes());
    }

    /** What a router that has just started is told of the prefix caches. */
    PrefixCacheSnapshot snapshot(double nowMs) {
        return new PrefixCacheSnapshot(selector.cacheEstimates().snapshot(MAX_HINTS_PER_SNAPSHOT, nowMs));
    }

    /** The snapshot that this router has asked for has arrived. */
    void onSnapshot(PrefixCacheSnapshot snapshot, double nowMs) {
        snapshot.hints().forEach(hint -> selector.cacheEstimates().applyHint(hint, nowMs));
    }
}
