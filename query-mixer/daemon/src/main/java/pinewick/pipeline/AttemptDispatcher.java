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
    private final SchedulerHost.Deployment given;
    private final Loop loop;
    private final Limits limits;
    private final Counters counters;
    private final ReplicaDirectory replicas;
    private final Map<String, List<InFlightAttempt>> batch = new LinkedHashMap<>();
    private final Map<Long, String> probes = new LinkedHashMap<>();
    private final Consumer<SearcherLink> dialer;
    private Runnable lookAtList = () -> {};
    private double lookedAt;
    private long lastProbe;
    private CompletionHandler book;

    public AttemptDispatcher(
            SchedulerHost.Deployment given,
            Loop loop,
            Limits limits,
            Counters counters,
            ReplicaDirectory replicas,
            Consumer<SearcherLink> dialer) {
        this.given = given;
        this.loop = loop;
        this.limits = limits;
        this.counters = counters;
        this.replicas = replicas;
        this.dialer = dialer;
    }

    /** The stage to which endings go. */
    public void passesTo(CompletionHandler next) {
        book = next;
    }

    /** Reads what has come of the list. */
    public void looks(Runnable atList) {
        lookAtList = atList;
    }

    public void add(InFlightAttempt launch) {
        counters.add("launched");
        batch.computeIfAbsent(launch.replicaId, any -> new ArrayList<>()).add(launch);
    }

    /** The end of a batch: everything that it launched goes out. */
    public void flush() {
        if (batch.isEmpty()) {
            return;
        }
        Map<String, List<InFlightAttempt>> now = new LinkedHashMap<>(batch);
        batch.clear();
        now.forEach((searcher, launches) -> loop.guarded("sending", () -> send(searcher, launches)));
    }

    private void send(String searcher, List<InFlightAttempt> launches) {
        // What was taken back within its own batch, by its query's end, has ended already.
        launches.removeIf(each -> each.ended || each.shardRequest.query.ended);
        for (int from = 0; from < launches.size(); from += limits.callParts()) {
            List<InFlightAttempt> call = launches.subList(from, Math.min(launches.size(), from + limits.callParts()));
            boolean told = !replicas.isReady(searcher);
            OutboundConnection link = told ? null : link(searcher);
            if (link == null) {
                SchedulerHost.Outcome ending = told ? SchedulerHost.Outcome.MOOT : SchedulerHost.Outcome.NOT_CONNECTED;
                List.copyOf(call).forEach(each -> endLater(each, ending));
                continue;
            }
            for (InFlightAttempt each : call) {
                each.timer = loop.timeOut(each.deadline - loop.clock(), "a time-out", () -> timedOut(each));
                writeInWindow(each);
            }
            counters.add("calls");
            link.send(call);
        }
    }

    /**
     * Danger: a repeat of a deduplicated part, launched inside its window, may wait for a connection until past it,
     * and then its effect would happen twice. So it is taken back in time, and not begun after it. Also catches a
     * searcher that does not read. Harm: none, the decisions may launch it no more either.
     */
    private void writeInWindow(InFlightAttempt launch) {
        SchedulerHost.ServiceClassConfig grade = given.serviceClasses().get(launch.shardRequest.query.serviceClass);
        if (grade.retrySafety() == SchedulerHost.RetrySafety.DEDUPLICATED && launch.number > 0) {
            launch.shardRequest.attempts.stream()
                    .filter(each -> each != launch && !each.neverRan)
                    .findFirst()
                    .ifPresent(first -> {
                        launch.writeDeadline =
                                first.sentAt + grade.dedupWindowSeconds() - given.timerGranularitySeconds();
                        loop.after(
                                launch.writeDeadline - loop.clock(),
                                "the end of a window",
                                () -> takeBack(launch, SchedulerHost.Outcome.MOOT));
                    });
        }
    }

    /**
     * Whether a launch may begin at this moment: asked right before its first byte. Danger: between the decision and
     * the byte lie a dial, a long batch (bad clients in hundreds) or timers that ring before the sockets are looked at,
     * and in that time the client may have left, a window have ended, or a drain have come. Harm: a read for each
     * launch of a query not seen for a moment, and one of the list.
     */
    boolean mayBegin(InFlightAttempt launch) {
        OpenQuery query = launch.shardRequest.query;
        double now = loop.clock();
        if (!launch.ended && !query.ended && now - query.clientSeenAt > limits.unseen() && query.client.isConnected()) {
            query.clientSeenAt = now;
        }
        if (now - Math.max(lookedAt, loop.lookedBefore()) > limits.unseen()) {
            lookedAt = now;
            lookAtList.run();
        }
        if (!launch.ended && !query.ended && (now >= launch.writeDeadline || !replicas.isReady(launch.replicaId))) {
            takeBack(launch, SchedulerHost.Outcome.MOOT);
            return false;
        }
        return !launch.ended && !query.ended;
    }

    /** A connection with a place: one that is up before one that is not yet, else a new one; null at limits. */
    private OutboundConnection link(String searcher) {
        OutboundConnection best = null;
        for (OutboundConnection each : List.copyOf(replicas.connections(searcher))) {
            if (each.hasCapacity()
                    && (best == null || (each.isConnected() && !best.isConnected()))
                    && each.isStillOpen()) {
                best = each;
            }
        }
        InetSocketAddress address = replicas.address(searcher);
        if (best != null || address == null) {
            return best;
        }
        if (replicas.openCount() >= limits.searcherSockets()) {
            replicas.allConnections().stream()
                    .filter(each -> each.activeCalls() == 0)
                    .findFirst()
                    .ifPresent(idle -> idle.close("its place is needed"));
        }
        if (replicas.connections(searcher).size() >= limits.connectionsASearcher()
                || replicas.openCount() >= limits.searcherSockets()) {
            counters.add("connections-at-limit");
            return null;
        }
        SearcherLink link = new SearcherLink(searcher, address, loop, limits, book);
        replicas.add(link);
        counters.add("connections-opened");
        counters.peak("peak-searcher-connections", replicas.openCount());
        dialer.accept(link);
        return link;
    }

    private void timedOut(InFlightAttempt launch) {
        if (launch.ended) {
            return;
        }
        ReplicaCall call = launch.call;
        if (call.writeState == ReplicaCall.WriteState.WRITTEN) {
            // Danger: a machine that vanished leaves its connections open and silent, and each launch put on
            // them would be lost until its time-out. So a silent one gets nothing new. Harm: a searcher that
            // is only slow is dialled once more.
            if (call.connection.isSilentSince(call)) {
                call.connection.retire("silent");
            }
            boolean tell = given.allowsCancel() && !given.allowsConcurrentAttempts();
            call.connection.cancel(launch, tell);
            book.ended(launch, SchedulerHost.Outcome.TIMED_OUT, null);
        } else {
            call.connection.cancel(launch, false);
            book.ended(launch, SchedulerHost.Outcome.NOT_CONNECTED, null);
        }
    }

    public void cancel(InFlightAttempt launch) {
        if (!launch.ended) {
            if (launch.call != null) {
                launch.call.connection.cancel(launch, given.allowsCancel());
            }
            endLater(launch, SchedulerHost.Outcome.CANCELLED);
        }
    }

    /** Takes back what has not been written yet; it never ran. */
    public void takeBack(InFlightAttempt launch, SchedulerHost.Outcome ending) {
        if (!launch.ended && launch.isUnwritten()) {
            if (launch.call != null) {
                launch.call.connection.cancel(launch, false);
            }
            endLater(launch, ending);
        } else if (!launch.ended && launch.call.writeState == ReplicaCall.WriteState.PARTIAL) {
            launch.call.connection.cancel(launch, false);
        }
    }

    /** The searcher takes nothing new: what waits for it goes back, its connections end with what is out. */
    public void leaves(String searcher, String why) {
        for (OutboundConnection link : List.copyOf(replicas.connections(searcher))) {
            for (InFlightAttempt launch : link.unwrittenAttempts()) {
                takeBack(launch, SchedulerHost.Outcome.MOOT);
            }
            link.retire(why);
        }
    }

    private void endLater(InFlightAttempt launch, SchedulerHost.Outcome ending) {
        loop.later("a launch's end", () -> book.ended(launch, ending, null));
    }

    public void probe(String searcher) {
        long number = ++lastProbe;
        probes.put(number, searcher);
        counters.add("probes");
        loop.later("probing", () -> {
            OutboundConnection link = replicas.isReady(searcher) ? link(searcher) : null;
            if (link == null) {
                probeEnds(number, SchedulerHost.Outcome.NOT_CONNECTED, null);
                return;
            }
            loop.timeOut(
                    limits.probeWait(),
                    "a probe's time-out",
                    () -> probeEnds(number, SchedulerHost.Outcome.TIMED_OUT, null));
            link.sendProbe(number, true);
        });
    }

    /** A probe ends once. */
    void probeEnds(long number, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        String searcher = probes.remove(number);
        if (searcher != null) {
            book.probeEnded(searcher, ending, report);
        }
    }
}
