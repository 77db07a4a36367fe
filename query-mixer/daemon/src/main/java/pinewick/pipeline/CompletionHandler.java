package pinewick.pipeline;

import java.util.List;
import java.util.Locale;
import pinewick.core.SchedulerHost;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;
import pinewick.state.ReplicaDirectory;
import pinewick.wire.SearcherLink;

/** Last stage: books how launches, probes and queries ended, and tells the decisions. */
public final class CompletionHandler implements SearcherLink.Events {
    private final Loop loop;
    private final Log log;
    private final OpenQueries queries;
    private final Counters counters;
    private final ReplicaDirectory replicas;
    private final AttemptDispatcher send;
    private final ResponseSender relay;
    private QueryRouter route;

    public CompletionHandler(
            Loop loop,
            Log log,
            OpenQueries queries,
            Counters counters,
            ReplicaDirectory replicas,
            AttemptDispatcher send,
            ResponseSender relay) {
        this.loop = loop;
        this.log = log;
        this.queries = queries;
        this.counters = counters;
        this.replicas = replicas;
        this.send = send;
        this.relay = relay;
    }

    /** The stage that the decisions are told through. */
    public void tells(QueryRouter decisions) {
        route = decisions;
    }

    /** A launch is over, once. */
    void ended(InFlightAttempt launch, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        if (launch.ended) {
            return;
        }
        launch.ended = true;
        launch.neverRan = ending.neverRan();
        if (launch.timer != null) {
            launch.timer.remove();
        }
        if (launch.call != null) {
            launch.call.connection.onAttemptEnded(launch);
        }
        counters.add("ended-" + ending.name().toLowerCase(Locale.ROOT));
        OpenQuery query = launch.shardRequest.query;
        try {
            query.handle.onAttemptEnd(
                    launch.shardRequest.id, launch.number, ending, loop.now() - launch.sentAt, report);
        } catch (RuntimeException fault) {
            relay.giveUp(query);
            throw fault;
        } finally {
            forget(query);
        }
    }

    /** The client has closed its connection. */
    void withdrawn(OpenQuery query) {
        relay.left(query);
        if (query.handle != null) {
            query.handle.onCancelled(query.id);
            forget(query);
        }
    }

    private void forget(OpenQuery query) {
        if (query.handle.isFinished()) {
            queries.remove(query);
        }
    }

    void probeEnded(String searcher, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        counters.add("probe-" + ending.name().toLowerCase(Locale.ROOT));
        route.probed(searcher, ending, report);
    }

    @Override
    public void answered(InFlightAttempt launch, char end, SchedulerHost.LoadReport report, byte[] value) {
        if (end == 'S' && launch.shardRequest.result == null) {
            launch.shardRequest.result = value;
        }
        ended(
                launch,
                switch (end) {
                    case 'S' -> SchedulerHost.Outcome.FULFILLED;
                    case 'B' -> SchedulerHost.Outcome.REJECTED;
                    default -> SchedulerHost.Outcome.ERROR;
                },
                report);
    }

    @Override
    public void probed(String searcher, long probe, boolean good, SchedulerHost.LoadReport report) {
        send.probeEnds(probe, good ? SchedulerHost.Outcome.FULFILLED : SchedulerHost.Outcome.ERROR, report);
    }

    @Override
    public void spoilt(SearcherLink link, String why, InFlightAttempt launch) {
        counters.add("spoilt-answers");
        link.unwrittenAttempts().forEach(each -> send.takeBack(each, SchedulerHost.Outcome.MOOT));
        log.say(
                Log.Level.WARNING,
                "searchers",
                "spoilt by " + link.replicaId() + ": " + why
                        + (launch == null ? "" : ", ends " + launch.shardRequest.id),
                "searcher",
                link.replicaId());
        if (launch != null) {
            ended(launch, SchedulerHost.Outcome.ERROR, null);
        }
    }

    @Override
    public boolean mayBegin(InFlightAttempt launch) {
        return send.mayBegin(launch);
    }

    @Override
    public void unsent(List<InFlightAttempt> launches) {
        launches.forEach(each -> loop.guarded("a launch unsent", () -> ended(each, SchedulerHost.Outcome.MOOT, null)));
    }

    @Override
    public void notUp(SearcherLink link, List<InFlightAttempt> launches) {
        counters.add("connections-late");
        if (!launches.isEmpty()) {
            log.say(
                    Log.Level.WARNING,
                    "searchers",
                    "connection to " + link.replicaId() + " is not up in time; not connected " + launches.size(),
                    "searcher",
                    link.replicaId());
        }
        launches.forEach(each ->
                loop.guarded("a launch not connected", () -> ended(each, SchedulerHost.Outcome.NOT_CONNECTED, null)));
    }

    @Override
    public void closed(SearcherLink link, String why, List<InFlightAttempt> never, List<InFlightAttempt> perhaps) {
        replicas.remove(link);
        counters.add("connections-closed");
        if (!never.isEmpty() || !perhaps.isEmpty()) {
            log.say(
                    Log.Level.WARNING,
                    "searchers",
                    "connection to " + link.replicaId() + " closed, " + why + "; not connected " + never.size()
                            + ", dropped " + perhaps.size(),
                    "searcher",
                    link.replicaId());
        }
        never.forEach(each ->
                loop.guarded("a launch not connected", () -> ended(each, SchedulerHost.Outcome.NOT_CONNECTED, null)));
        perhaps.forEach(
                each -> loop.guarded("a launch dropped", () -> ended(each, SchedulerHost.Outcome.DROPPED, null)));
    }
}
