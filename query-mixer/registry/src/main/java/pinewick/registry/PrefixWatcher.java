package pinewick.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Watches one key prefix through the members of the registry: it decides what to read and watch, when to fail over to
 * another member, and which responses to trust. No I/O; the caller passes the time in seconds, and randomness comes
 * from a seeded generator. docs/registry.md describes the states.
 *
 * <p>Up to three requests are pending at a time, each with its own id: a range (a page of a full view), the watch, and
 * a probe (the newest change and the number of keys). A response to an earlier request is ignored.
 */
public final class PrefixWatcher {
    /** Sends the requests and receives the results. */
    public interface Transport {
        /**
         * Reads keys from {@code fromKey} to the end of the prefix.
         *
         * @param revision the revision to read at, 0 for the newest
         * @param keysOnly whether to omit the values
         */
        void range(long requestId, int endpoint, String fromKey, long revision, int limit, boolean keysOnly);

        /** Requests the last modified key, without its value, and the number of keys. */
        void probe(long requestId, int endpoint);

        void watch(long requestId, int endpoint, long fromRevision);

        /** Cancels a request; its connection may be closed. */
        void cancel(long requestId);

        /** An update of the view, to be applied as a unit. */
        void onUpdate(ViewUpdate update);

        /** Writes a message to the operators' log. */
        void log(String message);
    }

    /** The state of the watcher. */
    public enum State {
        STOPPED,
        READING,
        WATCHING,
        BACKOFF
    }

    /**
     * Configuration; durations are in seconds.
     *
     * @param endpointCount number of registry members
     * @param pageSize maximum number of keys per page
     * @param requestTimeoutSeconds time limit for a range response and for opening a watch
     * @param probeIntervalSeconds time between two probes while a watch is open
     * @param probeTimeoutSeconds time limit for a probe response
     * @param maxWatchLagSeconds how long a watch may fail to deliver a change that a probe has found
     * @param minBackoffSeconds lower bound of the exponential backoff after all members have failed in turn
     * @param maxBackoffSeconds upper bound of that backoff
     * @param resetConfirmationSeconds how long all members must report nothing but a lower revision, or another
     *     cluster, before the watcher accepts it
     */
    public record Settings(
            int endpointCount,
            int pageSize,
            double requestTimeoutSeconds,
            double probeIntervalSeconds,
            double probeTimeoutSeconds,
            double maxWatchLagSeconds,
            double minBackoffSeconds,
            double maxBackoffSeconds,
            double resetConfirmationSeconds) {
        public static Settings defaults(int endpointCount) {
            return new Settings(endpointCount, 500, 1, 0.15, 0.25, 0.1, 0.05, 2, 10);
        }
    }

    private final RegistryView view;
    private final Settings settings;
    private final Transport transport;
    private final SplittableRandom random;
    private final String prefix;
    private final List<KeyValue> fragments = new ArrayList<>();
    private State state = State.STOPPED;
    private long lastRequestId;
    private long rangeRequestId;
    private long watchRequestId;
    private long probeRequestId;
    private int endpoint;
    private int consecutiveFailures;
    private int limit;
    private int initialLimit;
    private double requestSentAt;
    private double probeSentAt;
    private double retryAt;
    private double watchLagsSince = Double.NaN;
    private String nextKey;
    private String clusterId;
    private long rebuildRevision;
    private long revisionAtProbe;
    private final boolean[] distrustedEndpoints;
    private boolean watchOpen;
    private boolean caughtUp;
    private boolean acceptsReset;
    private boolean keysOnly;
    private boolean needsRebuild;
    private boolean probesOtherMember;
    /** Since when only a lower revision, or another cluster, is reported; NaN while the known cluster answers. */
    private double distrustedSince = Double.NaN;

    private int updateCount;
    private int rebuildCount;
    private int failoverCount;

    public PrefixWatcher(
            String prefix, RegistryView view, Settings settings, Transport transport, SplittableRandom random) {
        if (settings.endpointCount() < 1) {
            throw new IllegalArgumentException("endpoints: at least one is required");
        }
        this.prefix = prefix;
        this.view = view;
        this.settings = settings;
        this.transport = transport;
        this.random = random;
        initialLimit = settings.pageSize();
        distrustedEndpoints = new boolean[settings.endpointCount()];
        endpoint = random.nextInt(settings.endpointCount());
    }

    public State state() {
        return state;
    }

    /** Whether the view in force has been confirmed as the registry's newest since the last failover. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Counters for operators: updates applied, full rebuilds, failovers, and the revision and size of the view. */
    public String metrics() {
        return "steps " + updateCount + "\nviews-read-whole " + rebuildCount + "\nmembers-left " + failoverCount
                + "\nrevision " + view.revision() + "\nkeys " + view.size() + "\n";
    }

    /** Starts from the current view: one restored from disk is watched onward, an empty one is rebuilt. */
    public void start(double now) {
        if (view.revision() > 0) {
            startWatch(now);
        } else {
            startRebuild(now);
        }
    }

    public void stop() {
        cancelAll();
        state = State.STOPPED;
    }

    private void cancelAll() {
        for (long each : new long[] {rangeRequestId, watchRequestId, probeRequestId}) {
            if (each != 0) {
                transport.cancel(each);
            }
        }
        rangeRequestId = watchRequestId = probeRequestId = 0;
        watchOpen = false;
        fragments.clear();
    }

    private void startWatch(double now) {
        state = State.WATCHING;
        requestSentAt = probeSentAt = now;
        watchLagsSince = Double.NaN;
        watchOpen = false;
        watchRequestId = ++lastRequestId;
        transport.watch(watchRequestId, endpoint, view.revision() + 1);
    }

    /** Reads the entire view again; the current one stays in force meanwhile. */
    private void startRebuild(double now) {
        if (watchRequestId != 0 || probeRequestId != 0) {
            cancelAll();
        }
        state = State.READING;
        view.beginRebuild();
        nextKey = prefix;
        rebuildRevision = 0;
        limit = initialLimit;
        keysOnly = false;
        requestPage(now);
    }

    private void requestPage(double now) {
        requestSentAt = now;
        rangeRequestId = ++lastRequestId;
        transport.range(rangeRequestId, endpoint, nextKey, rebuildRevision, keysOnly ? 1 : limit, keysOnly);
    }

    /**
     * Fails over to the next member, immediately while some have not been tried. When all are down, the backoff grows
     * and is randomised, so that routers neither retry without a pause nor all reconnect at the same moment when a
     * member recovers.
     */
    private void failOver(double now, String reason) {
        cancelAll();
        failoverCount++;
        caughtUp = false;
        endpoint = (endpoint + 1) % settings.endpointCount();
        consecutiveFailures++;
        boolean hasUntriedMember = consecutiveFailures % settings.endpointCount() != 0;
        int rounds = Math.min(10, consecutiveFailures / settings.endpointCount());
        double backoffSeconds = hasUntriedMember
                ? 0
                : Math.min(settings.maxBackoffSeconds(), settings.minBackoffSeconds() * (1 << rounds))
                        * (0.5 + random.nextDouble());
        retryAt = now + backoffSeconds;
        state = State.BACKOFF;
        transport.log("left a member, " + reason
                + (backoffSeconds > 0 ? "; next in " + Math.round(backoffSeconds * 1e3) + " ms" : ""));
    }

    /** To be called every few tens of milliseconds. */
    public void tick(double now) {
        switch (state) {
            case BACKOFF -> {
                if (now >= retryAt) {
                    if (needsRebuild || view.revision() == 0 || acceptsReset) {
                        startRebuild(now);
                    } else {
                        startWatch(now);
                    }
                }
            }
            case READING -> {
                if (now - requestSentAt > settings.requestTimeoutSeconds()) {
                    // Without smaller pages, a page that takes a member longer than the time-out could never be read.
                    initialLimit = Math.max(1, limit / 8);
                    needsRebuild = true;
                    failOver(now, "no response to a range request");
                }
            }
            case WATCHING -> {
                if (!watchOpen && now - requestSentAt > settings.requestTimeoutSeconds()) {
                    failOver(now, "the watch did not open");
                } else if (probeRequestId != 0 && now - probeSentAt > settings.probeTimeoutSeconds()) {
                    onProbeFailure(now, "no response to a probe");
                } else if (!Double.isNaN(watchLagsSince) && now - watchLagsSince > settings.maxWatchLagSeconds()) {
                    // An open watch that delivers nothing would hide a drain, so the view is rebuilt at once.
                    needsRebuild = true;
                    failOver(now, "the watch owes a change");
                    tick(now);
                } else if (watchOpen && probeRequestId == 0 && now - probeSentAt >= settings.probeIntervalSeconds()) {
                    probeSentAt = now;
                    probeRequestId = ++lastRequestId;
                    revisionAtProbe = view.revision();
                    // A lagging member answers its own probes without fault, so every second probe goes to another
                    // member, whose failure says nothing about this one.
                    probesOtherMember = !probesOtherMember && settings.endpointCount() > 1;
                    int offset = probesOtherMember ? 1 + random.nextInt(settings.endpointCount() - 1) : 0;
                    transport.probe(probeRequestId, (endpoint + offset) % settings.endpointCount());
                }
            }
            default -> {}
        }
    }

    private void onProbeFailure(double now, String reason) {
        if (probesOtherMember) {
            transport.cancel(probeRequestId);
            probeRequestId = 0;
        } else {
            failOver(now, reason);
        }
    }

    /** A request ended without a response. */
    public void onFailure(double now, long requestId, String reason) {
        if (requestId != 0 && requestId == probeRequestId) {
            onProbeFailure(now, reason);
        } else if (requestId != 0 && (requestId == rangeRequestId || requestId == watchRequestId)) {
            needsRebuild |= requestId == rangeRequestId;
            failOver(now, reason);
        }
    }

    /**
     * Handles a response that exceeds the size limit. Pages shrink down to one key; a single key with too large a value
     * is read by name only. Otherwise one huge value would keep the entire view from ever being read.
     */
    public void onResponseTooLarge(double now, long requestId) {
        if (requestId == watchRequestId && requestId != 0) {
            needsRebuild = true;
            cancelAll();
            startRebuild(now);
        } else if (requestId == rangeRequestId && requestId != 0) {
            if (limit > 1) {
                limit = Math.max(1, limit / 8);
            } else {
                keysOnly = true;
            }
            requestPage(now);
        } else {
            onFailure(now, requestId, "response too large");
        }
    }

    public void onResponse(double now, long requestId, RegistryResponse response) {
        if (requestId == 0
                || (requestId != rangeRequestId && requestId != watchRequestId && requestId != probeRequestId)) {
            return;
        }
        if (requestId == probeRequestId
                && probesOtherMember
                && (response.error() != null || !response.clusterId().equals(clusterId))) {
            probeRequestId = 0;
        } else if (response.isCompacted()) {
            // The changes in between are no longer known; only a full rebuild restores a complete view.
            transport.log("revision " + (requestId == rangeRequestId ? rebuildRevision : view.revision() + 1)
                    + " is compacted");
            needsRebuild = true;
            cancelAll();
            startRebuild(now);
        } else if (response.error() != null) {
            onFailure(now, requestId, response.error());
        } else if (requestId == probeRequestId && probesOtherMember) {
            onProbeResponse(now, response);
        } else if (!isTrusted(now, requestId, response)) {
            failOver(now, describeMismatch(response));
        } else if (requestId == probeRequestId) {
            onProbeResponse(now, response);
        } else if (requestId == rangeRequestId) {
            onPage(now, response);
        } else {
            onWatchResponse(now, response);
        }
    }

    private String describeMismatch(RegistryResponse response) {
        return clusterId != null && !response.clusterId().equals(clusterId)
                ? "it belongs to cluster " + response.clusterId() + ", not " + clusterId
                : "its revision " + response.revision() + " is behind " + view.revision();
    }

    /**
     * Decides whether to trust a response. A member with an older revision lags or is partitioned; one of another
     * cluster is misconfigured. Neither is trusted until every member has reported such a state, and none anything
     * else, for the configured time: then the registry was restored or replaced, and is read in full. Otherwise a wrong
     * member could empty the view while the known members are down.
     */
    private boolean isTrusted(double now, long requestId, RegistryResponse response) {
        boolean sameCluster = clusterId == null || response.clusterId().equals(clusterId);
        if (sameCluster && response.revision() >= (requestId == probeRequestId ? revisionAtProbe : view.revision())) {
            distrustedSince = Double.NaN;
            Arrays.fill(distrustedEndpoints, false);
            acceptsReset = false;
            clusterId = response.clusterId();
            return true;
        }
        if (acceptsReset && requestId == rangeRequestId) {
            return true;
        }
        distrustedSince = Double.isNaN(distrustedSince) ? now : distrustedSince;
        distrustedEndpoints[endpoint] = true;
        boolean allDistrusted = true;
        for (boolean each : distrustedEndpoints) {
            allDistrusted &= each;
        }
        acceptsReset |= allDistrusted && now - distrustedSince >= settings.resetConfirmationSeconds();
        return false;
    }

    private void onProbeResponse(double now, RegistryResponse response) {
        probeRequestId = 0;
        if (response.revision() < view.revision()) {
            return; // the watch delivered newer changes first, so this response carries no information
        }
        long newest =
                response.keyValues().isEmpty() ? 0 : response.keyValues().get(0).modRevision();
        boolean lags = newest > view.revision() || response.count() != view.size();
        if (!lags && probesOtherMember) {
            watchLagsSince = Double.NaN;
        } else if (!lags) {
            watchLagsSince = Double.NaN;
            caughtUp = true;
            consecutiveFailures = 0;
        } else if (Double.isNaN(watchLagsSince)) {
            watchLagsSince = now;
        }
    }

    private void onPage(double now, RegistryResponse response) {
        List<KeyValue> keyValues = response.keyValues();
        if (keysOnly) {
            keysOnly = false;
            if (!keyValues.isEmpty()) {
                view.keepLastGood(keyValues.get(0).key(), keyValues.get(0).modRevision());
                nextKey = keyValues.get(0).key() + '\0';
            }
            limit = settings.pageSize();
        } else {
            if (rebuildRevision == 0) {
                rebuildRevision = response.revision();
            }
            view.addPage(rebuildRevision, keyValues);
            if (!keyValues.isEmpty()) {
                nextKey = keyValues.get(keyValues.size() - 1).key() + '\0';
            }
        }
        if (response.more()) {
            requestPage(now);
            return;
        }
        rangeRequestId = 0;
        if (rebuildRevision == 0) {
            view.addPage(response.revision(), List.of());
        }
        boolean restored = acceptsReset;
        if (restored) {
            transport.log("the registry is believed again, cluster " + response.clusterId() + " at revision "
                    + response.revision());
            clusterId = response.clusterId();
            acceptsReset = false;
            distrustedSince = Double.NaN;
            Arrays.fill(distrustedEndpoints, false);
        }
        ViewUpdate update = view.commit(restored);
        initialLimit = settings.pageSize();
        needsRebuild = false;
        rebuildCount++;
        updateCount++;
        transport.onUpdate(update);
        startWatch(now);
    }

    private void onWatchResponse(double now, RegistryResponse response) {
        if (response.created()) {
            watchOpen = true;
            consecutiveFailures = 0;
            requestSentAt = now;
        }
        if (response.cancelled()) {
            failOver(now, "the watch was cancelled");
            return;
        }
        fragments.addAll(response.keyValues());
        if (response.fragment()) {
            return;
        }
        if (fragments.isEmpty()) {
            if (!response.created()) {
                view.advanceTo(response.revision());
            }
            return;
        }
        ViewUpdate update = view.apply(List.copyOf(fragments));
        fragments.clear();
        watchLagsSince = Double.NaN;
        if (!update.events().isEmpty()) {
            updateCount++;
            transport.onUpdate(update);
        }
        if (update.massRemoval()) {
            // Rule 3 holds for removed searchers whatever the cause; a full rebuild shows at once whether they are
            // back.
            transport.log(update.removedCount() + " searchers left in one step; reading the whole view");
            cancelAll();
            startRebuild(now);
        }
    }
}
