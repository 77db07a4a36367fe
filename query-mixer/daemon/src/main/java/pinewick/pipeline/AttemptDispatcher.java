package pinewick.pipeline;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.core.SchedulerHost;
import pinewick.loop.Limits;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaCall;
import pinewick.state.ReplicaDirectory;
import pinewick.wire.SearcherLink;

/** Fourth stage: what one batch launches to a searcher goes out together, over a connection with a place. */
public final class AttemptDispatcher {
    private final SchedulerHost.Deployment deployment;
    private final Loop loop;
    private final Limits limits;
    private final Counters counters;
    private final ReplicaDirectory replicas;
    private final Map<String, List<InFlightAttempt>> batch = new LinkedHashMap<>();
    private final Map<Long, String> probes = new LinkedHashMap<>();
    private final Consumer<SearcherLink> dialer;
    private Runnable listReader = () -> {};
    private double listReadAt;
    private long lastProbeNumber;
    private CompletionHandler completion;

    public AttemptDispatcher(
            SchedulerHost.Deployment deployment,
            Loop loop,
            Limits limits,
            Counters counters,
            ReplicaDirectory replicas,
            Consumer<SearcherLink> dialer) {
        this.deployment = deployment;
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
        this.replicas = replicas;
        this.dialer = dialer;
    }

    /** The stage to which endings go. */
    public void setCompletionHandler(CompletionHandler completion) {
        this.completion = completion;
    }

    /** Reads what has come of the list. */
    public void setListReader(Runnable reader) {
        listReader = reader;
    }

    public void enqueue(InFlightAttempt attempt) {
        counters.add("launched");
        batch.computeIfAbsent(attempt.replicaId, any -> new ArrayList<>()).add(attempt);
    }

    /** The end of a batch: everything that it launched goes out. */
    public void flush() {
        if (batch.isEmpty()) {
            return;
        }
        Map<String, List<InFlightAttempt>> now = new LinkedHashMap<>(batch);
        batch.clear();
        now.forEach((replicaId, attempts) -> loop.guarded("sending", () -> send(replicaId, attempts)));
    }

    private void send(String replicaId, List<InFlightAttempt> attempts) {
        // What was taken back within its own batch, by its query's end, has ended already.
        attempts.removeIf(each -> each.ended || each.shardRequest.query.ended);
        for (int from = 0; from < attempts.size(); from += limits.callParts()) {
            List<InFlightAttempt> call = attempts.subList(from, Math.min(attempts.size(), from + limits.callParts()));
            boolean notReady = !replicas.isReady(replicaId);
            OutboundConnection connection = notReady ? null : findConnection(replicaId);
            if (connection == null) {
                SchedulerHost.Outcome outcome =
                        notReady ? SchedulerHost.Outcome.MOOT : SchedulerHost.Outcome.NOT_CONNECTED;
                List.copyOf(call).forEach(each -> endLater(each, outcome));
                continue;
            }
            for (InFlightAttempt each : call) {
                each.timer = loop.timeOut(each.deadline - loop.clock(), "a time-out", () -> onTimeout(each));
                limitToDedupWindow(each);
            }
            counters.add("calls");
            connection.send(call);
        }
    }

    /**
     * Danger: a repeat of a deduplicated part, launched inside its window, may wait for a connection until past it,
     * and then its effect would happen twice. So it is taken back in time, and not begun after it. Also catches a
     * searcher that does not read. Harm: none, the decisions may launch it no more either.
     */
    private void limitToDedupWindow(InFlightAttempt attempt) {
        SchedulerHost.ServiceClassConfig serviceClass =
                deployment.serviceClasses().get(attempt.shardRequest.query.serviceClass);
        if (serviceClass.retrySafety() == SchedulerHost.RetrySafety.DEDUPLICATED && attempt.number > 0) {
            attempt.shardRequest.attempts.stream()
                    .filter(each -> each != attempt && !each.neverRan)
                    .findFirst()
                    .ifPresent(first -> {
                        attempt.writeDeadline =
                                first.sentAt + serviceClass.dedupWindowSeconds() - deployment.timerGranularitySeconds();
                        loop.after(
                                attempt.writeDeadline - loop.clock(),
                                "the end of a window",
                                () -> withdraw(attempt, SchedulerHost.Outcome.MOOT));
                    });
        }
    }

    /**
     * Whether a launch may begin at this moment: asked right before its first byte. Danger: between the decision and
     * the byte lie a dial, a long batch (bad clients in hundreds) or timers that ring before the sockets are looked at,
     * and in that time the client may have left, a window have ended, or a drain have come. Harm: a read for each
     * launch of a query not seen for a moment, and one of the list.
     */
    boolean mayStart(InFlightAttempt attempt) {
        OpenQuery query = attempt.shardRequest.query;
        double now = loop.clock();
        if (!attempt.ended
                && !query.ended
                && now - query.clientSeenAt > limits.unseen()
                && query.client.isConnected()) {
            query.clientSeenAt = now;
        }
        if (now - Math.max(listReadAt, loop.lookedBefore()) > limits.unseen()) {
            listReadAt = now;
            listReader.run();
        }
        if (!attempt.ended && !query.ended && (now >= attempt.writeDeadline || !replicas.isReady(attempt.replicaId))) {
            withdraw(attempt, SchedulerHost.Outcome.MOOT);
            return false;
        }
        return !attempt.ended && !query.ended;
    }

    /** A connection with a place: one that is up before one that is not yet, else a new one; null at limits. */
    private OutboundConnection findConnection(String replicaId) {
        OutboundConnection best = null;
        for (OutboundConnection each : List.copyOf(replicas.connections(replicaId))) {
            if (each.hasCapacity()
                    && (best == null || (each.isConnected() && !best.isConnected()))
                    && each.isStillOpen()) {
                best = each;
            }
        }
        InetSocketAddress address = replicas.address(replicaId);
        if (best != null || address == null) {
            return best;
        }
        if (replicas.openCount() >= limits.searcherSockets()) {
            replicas.allConnections().stream()
                    .filter(each -> each.activeCalls() == 0)
                    .findFirst()
                    .ifPresent(idle -> idle.close("its place is needed"));
        }
        if (replicas.connections(replicaId).size() >= limits.connectionsASearcher()
                || replicas.openCount() >= limits.searcherSockets()) {
            counters.add("connections-at-limit");
            return null;
        }
        SearcherLink connection = new SearcherLink(replicaId, address, loop, limits, completion);
        replicas.add(connection);
        counters.add("connections-opened");
        counters.peak("peak-searcher-connections", replicas.openCount());
        dialer.accept(connection);
        return connection;
    }

    private void onTimeout(InFlightAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        ReplicaCall call = attempt.call;
        if (call.writeState == ReplicaCall.WriteState.WRITTEN) {
            // Danger: a machine that vanished leaves its connections open and silent, and each launch put on
            // them would be lost until its time-out. So a silent one gets nothing new. Harm: a searcher that
            // is only slow is dialled once more.
            if (call.connection.isSilentSince(call)) {
                call.connection.retire("silent");
            }
            boolean notifyReplica = deployment.allowsCancel() && !deployment.allowsConcurrentAttempts();
            call.connection.cancel(attempt, notifyReplica);
            completion.onAttemptEnded(attempt, SchedulerHost.Outcome.TIMED_OUT, null);
        } else {
            call.connection.cancel(attempt, false);
            completion.onAttemptEnded(attempt, SchedulerHost.Outcome.NOT_CONNECTED, null);
        }
    }

    public void cancel(InFlightAttempt attempt) {
        if (!attempt.ended) {
            if (attempt.call != null) {
                attempt.call.connection.cancel(attempt, deployment.allowsCancel());
            }
            endLater(attempt, SchedulerHost.Outcome.CANCELLED);
        }
    }

    /** Takes back what has not been written yet; it never ran. */
    public void withdraw(InFlightAttempt attempt, SchedulerHost.Outcome outcome) {
        if (!attempt.ended && attempt.isUnwritten()) {
            if (attempt.call != null) {
                attempt.call.connection.cancel(attempt, false);
            }
            endLater(attempt, outcome);
        } else if (!attempt.ended && attempt.call.writeState == ReplicaCall.WriteState.PARTIAL) {
            attempt.call.connection.cancel(attempt, false);
        }
    }

    /** The searcher takes nothing new: what waits for it goes back, its connections end with what is out. */
    public void retireConnections(String replicaId, String reason) {
        for (OutboundConnection connection : List.copyOf(replicas.connections(replicaId))) {
            for (InFlightAttempt attempt : connection.unwrittenAttempts()) {
                withdraw(attempt, SchedulerHost.Outcome.MOOT);
            }
            connection.retire(reason);
        }
    }

    private void endLater(InFlightAttempt attempt, SchedulerHost.Outcome outcome) {
        loop.later("a launch's end", () -> completion.onAttemptEnded(attempt, outcome, null));
    }

    public void sendProbe(String replicaId) {
        long number = ++lastProbeNumber;
        probes.put(number, replicaId);
        counters.add("probes");
        loop.later("probing", () -> {
            OutboundConnection connection = replicas.isReady(replicaId) ? findConnection(replicaId) : null;
            if (connection == null) {
                onProbeEnded(number, SchedulerHost.Outcome.NOT_CONNECTED, null);
                return;
            }
            loop.timeOut(
                    limits.probeWait(),
                    "a probe's time-out",
                    () -> onProbeEnded(number, SchedulerHost.Outcome.TIMED_OUT, null));
            connection.sendProbe(number, true);
        });
    }

    /** A probe ends once. */
    void onProbeEnded(long number, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        String replicaId = probes.remove(number);
        if (replicaId != null) {
            completion.onProbeEnded(replicaId, outcome, report);
        }
    }
}
