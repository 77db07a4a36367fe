package pinewick.pipeline;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.protocol.TcpReplicaConnection;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQuery;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaCall;
import pinewick.state.ReplicaDirectory;

/** Fourth stage: sends a batch's attempts to a replica together, over a connection with free capacity. */
public final class AttemptDispatcher {
    private final SchedulerHost.Deployment deployment;
    private final EventLoop loop;
    private final Limits limits;
    private final Counters counters;
    private final ReplicaDirectory replicas;
    private final Map<String, List<InFlightAttempt>> batch = new LinkedHashMap<>();
    private final Map<Long, String> probes = new LinkedHashMap<>();
    private final Consumer<TcpReplicaConnection> dialer;
    private Runnable listReader = () -> {};
    private double listReadAt;
    private long lastProbeNumber;
    private CompletionHandler completion;

    public AttemptDispatcher(
            SchedulerHost.Deployment deployment,
            EventLoop loop,
            Limits limits,
            Counters counters,
            ReplicaDirectory replicas,
            Consumer<TcpReplicaConnection> dialer) {
        this.deployment = deployment;
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
        this.replicas = replicas;
        this.dialer = dialer;
    }

    /** Sets the stage that handles outcomes; set once before the first event. */
    public void setCompletionHandler(CompletionHandler handler) {
        completion = handler;
    }

    /** Sets the action that reads pending updates of the replica list. */
    public void setListReader(Runnable reader) {
        listReader = reader;
    }

    /** Adds an attempt to the current batch. */
    public void enqueue(InFlightAttempt attempt) {
        counters.add("launched");
        batch.computeIfAbsent(attempt.replicaId, any -> new ArrayList<>()).add(attempt);
    }

    /** Sends all attempts of the batch. */
    public void flush() {
        if (batch.isEmpty()) {
            return;
        }
        Map<String, List<InFlightAttempt>> toSend = new LinkedHashMap<>(batch);
        batch.clear();
        toSend.forEach((replicaId, attempts) -> loop.guarded("sending", () -> send(replicaId, attempts)));
    }

    private void send(String replicaId, List<InFlightAttempt> attempts) {
        // An attempt withdrawn within its own batch, because its query ended, has already ended.
        attempts.removeIf(each -> each.ended || each.shardRequest.query.ended);
        for (int from = 0; from < attempts.size(); from += limits.maxPartsPerCall()) {
            List<InFlightAttempt> call =
                    attempts.subList(from, Math.min(attempts.size(), from + limits.maxPartsPerCall()));
            boolean isUnavailable = !replicas.isReady(replicaId);
            OutboundConnection connection = isUnavailable ? null : findConnection(replicaId);
            if (connection == null) {
                SchedulerHost.Outcome outcome =
                        isUnavailable ? SchedulerHost.Outcome.MOOT : SchedulerHost.Outcome.NOT_CONNECTED;
                List.copyOf(call).forEach(each -> endLater(each, outcome));
                continue;
            }
            for (InFlightAttempt each : call) {
                each.timer = loop.timeOut(each.deadline - loop.clock(), "an attempt's timeout", () -> onTimeout(each));
                limitToDedupWindow(each);
            }
            counters.add("calls");
            connection.send(call);
        }
    }

    /**
     * Withdraws a retry of a deduplicated shard request that is not written before the deduplication window ends. A
     * retry sent inside the window may wait for a connection until after it, and its effect would then happen twice.
     * This also covers a replica that does not read. The scheduler may not retry after the window either.
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
                                "the end of a deduplication window",
                                () -> withdraw(attempt, SchedulerHost.Outcome.MOOT));
                    });
        }
    }

    /**
     * Whether an attempt may be started now; checked right before its first byte is written. Connecting, a long batch
     * (hundreds of faulty clients) or timers that run before the sockets are read can delay that byte. Meanwhile the
     * client may have left, the deduplication window may have ended, or the replica may be draining. This costs a read
     * of the client's socket if the client was not checked recently, and one of the replica list.
     */
    boolean mayStart(InFlightAttempt attempt) {
        OpenQuery query = attempt.shardRequest.query;
        double now = loop.clock();
        if (!attempt.ended
                && !query.ended
                && now - query.clientSeenAt > limits.livenessCheckSeconds()
                && query.client.isConnected()) {
            query.clientSeenAt = now;
        }
        if (now - Math.max(listReadAt, loop.lastPolledAt()) > limits.livenessCheckSeconds()) {
            listReadAt = now;
            listReader.run();
        }
        if (!attempt.ended && !query.ended && (now >= attempt.writeDeadline || !replicas.isReady(attempt.replicaId))) {
            withdraw(attempt, SchedulerHost.Outcome.MOOT);
            return false;
        }
        return !attempt.ended && !query.ended;
    }

    /** Finds a connection with free capacity, preferably an established one, or opens one; null at the limits. */
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
        if (replicas.openCount() >= limits.maxReplicaConnections()) {
            replicas.allConnections().stream()
                    .filter(each -> each.activeCalls() == 0)
                    .findFirst()
                    .ifPresent(idle -> idle.close("idle, closed to make room for another connection"));
        }
        if (replicas.connections(replicaId).size() >= limits.maxConnectionsPerReplica()
                || replicas.openCount() >= limits.maxReplicaConnections()) {
            counters.add("connections-at-limit");
            return null;
        }
        TcpReplicaConnection connection = new TcpReplicaConnection(replicaId, address, loop, limits, completion);
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
            // A machine that vanished leaves its connections open and silent, and each attempt sent on them would
            // be lost until its timeout. A silent connection therefore gets no new calls. The cost: a replica that
            // is merely slow gets one more connection.
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

    /** Cancels an attempt; no effect if it has ended. */
    public void cancel(InFlightAttempt attempt) {
        if (!attempt.ended) {
            if (attempt.call != null) {
                attempt.call.connection.cancel(attempt, deployment.allowsCancel());
            }
            endLater(attempt, SchedulerHost.Outcome.CANCELLED);
        }
    }

    /** Withdraws an attempt of which no byte was written (it never ran), or stops one that is partly written. */
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

    /** Withdraws the replica's unwritten attempts; its connections close once their active calls have ended. */
    public void retireConnections(String replicaId, String reason) {
        for (OutboundConnection connection : List.copyOf(replicas.connections(replicaId))) {
            for (InFlightAttempt attempt : connection.unwrittenAttempts()) {
                withdraw(attempt, SchedulerHost.Outcome.MOOT);
            }
            connection.retire(reason);
        }
    }

    private void endLater(InFlightAttempt attempt, SchedulerHost.Outcome outcome) {
        loop.later("the end of an attempt", () -> completion.onAttemptEnded(attempt, outcome, null));
    }

    /** Sends a probe, or reports at once that the replica cannot be reached. */
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
                    limits.probeTimeoutSeconds(),
                    "a probe's timeout",
                    () -> onProbeEnded(number, SchedulerHost.Outcome.TIMED_OUT, null));
            connection.sendProbe(number, true);
        });
    }

    /** Handles the outcome of a probe; outcomes after the first are ignored. The report may be null. */
    void onProbeEnded(long number, SchedulerHost.Outcome outcome, SchedulerHost.LoadReport report) {
        String replicaId = probes.remove(number);
        if (replicaId != null) {
            completion.onProbeEnded(replicaId, outcome, report);
        }
    }
}
