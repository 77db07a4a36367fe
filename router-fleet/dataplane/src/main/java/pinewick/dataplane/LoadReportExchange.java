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
 * Collects load reports, prefix hints and service times for the other routers, and applies theirs. In a large fleet it
 * also forwards what was new to this router ({@link LoadReportTargets}). Performs no I/O; used on the data plane's
 * executor only.
 */
final class LoadReportExchange {
    /** With {@link #MAX_REPORTS_PER_MESSAGE} the bound on a message, so that it fits a datagram. */
    private static final int MAX_HINTS_PER_MESSAGE = 20;

    private static final int MAX_REPORTS_PER_MESSAGE = 12;
    /** Reports older than this are not sent: the queue that they describe has drained since. */
    private static final double MAX_REPORT_AGE_MS = 1_500;
    /** A report counts as new if it is later than the known one by at least this. */
    private static final double MIN_REPORT_ADVANCE_MS = 100;
    /**
     * Maximum number of hints in a snapshot for a router that starts: the most recently used prefixes of all replicas.
     */
    private static final int MAX_HINTS_PER_SNAPSHOT = 800;

    private final ReplicaSelector selector;
    private final Map<String, LoadReport> unsentReports = new LinkedHashMap<>();
    /** Service times that other routers already know, from this router or from another one. */
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

    /** Applies a report that this router has polled, and enqueues it for the other routers. */
    void onReport(String instanceId, LoadReport report) {
        selector.onLoadReport(instanceId, report);
        enqueue(instanceId, report);
    }

    private void enqueue(String instanceId, LoadReport report) {
        unsentReports.remove(instanceId);
        unsentReports.put(instanceId, report);
    }

    /**
     * Takes the next message to be sent: unsent reports and hints up to the maximum, empty if there are none. The rest
     * stays queued.
     */
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
     * Applies reports and hints of another router.
     *
     * @param forward whether what is new to this router is forwarded
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

    /**
     * Takes the service times to be sent now, empty if there are none. Each is announced only if this router is the
     * first to know it.
     */
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
     * Applies service times of another router.
     *
     * @param forward whether what is new to this router is forwarded
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

    /** All known service times, for a router that has just started. */
    ServiceTimesMessage allServiceTimes() {
        return new ServiceTimesMessage(selector.serviceTimes());
    }

    /** Prefix cache estimates for a router that has just started. */
    PrefixCacheSnapshot snapshot(double nowMs) {
        return new PrefixCacheSnapshot(selector.cacheEstimates().snapshot(MAX_HINTS_PER_SNAPSHOT, nowMs));
    }

    /** Applies the snapshot that this router has requested. */
    void onSnapshot(PrefixCacheSnapshot snapshot, double nowMs) {
        snapshot.hints().forEach(hint -> selector.cacheEstimates().applyHint(hint, nowMs));
    }
}
