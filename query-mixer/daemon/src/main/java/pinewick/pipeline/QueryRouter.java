package pinewick.pipeline;

import java.util.List;
import java.util.SplittableRandom;
import pinewick.core.QueryScheduler;
import pinewick.core.SchedulerHost;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.state.Counters;
import pinewick.state.InFlightAttempt;
import pinewick.state.OpenQueries;
import pinewick.state.OpenQuery;

/** Third stage: hands events to the decisions and passes on what they ask for. It decides nothing itself. */
public final class QueryRouter implements SchedulerHost {
    private final Loop loop;
    private final Log log;
    private final OpenQueries queries;
    private final Counters counters;
    private final AttemptDispatcher send;
    private final ResponseSender relay;
    private final QueryScheduler logic;
    private PeerObservations others = new PeerObservations() {};
    private boolean over;

    public QueryRouter(
            SchedulerHost.Deployment given,
            long seed,
            Loop loop,
            Log log,
            OpenQueries queries,
            Counters counters,
            AttemptDispatcher send,
            ResponseSender relay) {
        this.loop = loop;
        this.log = log;
        this.queries = queries;
        this.counters = counters;
        this.send = send;
        this.relay = relay;
        logic = new QueryScheduler(this, given, new SplittableRandom(seed));
    }

    /** What the other mixers see; without them, nothing. */
    public interface PeerObservations {
        default void saw(String searcher, double pace, double queue, int failures) {}

        default double pace(String searcher) {
            return 0;
        }

        default boolean warn(String searcher, double since) {
            return false;
        }
    }

    public void hears(PeerObservations from) {
        others = from;
    }

    public void take(OpenQuery query) {
        try {
            query.handle = logic.submit(
                    query.id,
                    query.serviceClass,
                    query.timeoutSeconds,
                    query.shardRequests.size(),
                    query.workHint,
                    query.isRetry);
            query.shardRequests
                    .values()
                    .forEach(piece -> query.handle.addShardRequest(piece.id, piece.shard, piece.weight));
        } catch (RuntimeException fault) {
            // Whatever went wrong inside, the client gets its one answer.
            relay.giveUp(query);
            if (query.handle == null) {
                queries.remove(query);
            }
            throw fault;
        }
    }

    public void list(SchedulerHost.ListUpdateKind form, List<SchedulerHost.ReplicaEntry> entries) {
        logic.onReplicaListUpdate(form, entries);
    }

    public void probed(String searcher, SchedulerHost.Outcome ending, SchedulerHost.LoadReport report) {
        logic.onProbeResult(searcher, ending, report);
    }

    /** So many mixers live from now on, and so many may be sending at most. */
    public void mixers(int count, int most) {
        logic.updateRouterCount(count, most);
    }

    /** No more timers: these decisions are done with. */
    public void ends() {
        over = true;
    }

    public void endOfBatch() {
        loop.guarded("deciding at a batch's end", logic::onBatchEnd);
        send.flush();
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void sendAttempt(String part, String searcher, double maxWait) {
        OpenQuery.ShardRequest piece = queries.shardRequest(part);
        InFlightAttempt launch = new InFlightAttempt(piece, piece.attempts.size(), searcher, now(), now() + maxWait);
        piece.attempts.add(launch);
        send.add(launch);
    }

    @Override
    public void mergeResults(String query, boolean whole) {
        relay.fulfil(queries.query(query), whole);
    }

    @Override
    public void rejectQuery(String query, double retryAfter) {
        relay.decline(queries.query(query), retryAfter);
    }

    @Override
    public void failQuery(String query) {
        relay.giveUp(queries.query(query));
    }

    @Override
    public void cancelAttempt(String part, int number) {
        send.cancel(queries.shardRequest(part).attempts.get(number));
    }

    @Override
    public void sendProbe(String searcher) {
        send.probe(searcher);
    }

    @Override
    public void scheduleTimer(double in, long name) {
        if (!over) {
            loop.after(in, "a timer", () -> {
                if (!over) {
                    logic.onTimer(name);
                }
            });
        }
    }

    @Override
    public void watchReplicas(boolean on) {
        // The watch is always open or about to be; asking starts nothing more.
        counters.add("asked-to-track");
    }

    @Override
    public void onReplicaMeasured(String searcher, double pace, double queue, int failures) {
        others.saw(searcher, pace, queue, failures);
    }

    @Override
    public double peerLatency(String searcher) {
        return others.pace(searcher);
    }

    @Override
    public boolean peersReportFailure(String searcher, double since) {
        return others.warn(searcher, since);
    }

    @Override
    public void log(String text) {
        log.say(Log.Level.INFO, "decisions", text);
    }
}
