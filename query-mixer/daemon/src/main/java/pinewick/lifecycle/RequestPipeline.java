package pinewick.lifecycle;

import io.undertow.connector.ByteBufferPool;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pinewick.core.SchedulerHost;
import pinewick.loop.EventLoop;
import pinewick.loop.Limits;
import pinewick.loop.LoadShedder;
import pinewick.loop.Log;
import pinewick.pipeline.AdmissionController;
import pinewick.pipeline.AttemptDispatcher;
import pinewick.pipeline.CompletionHandler;
import pinewick.pipeline.QueryRouter;
import pinewick.pipeline.RequestIntake;
import pinewick.pipeline.ResponseSender;
import pinewick.protocol.ClientListener;
import pinewick.protocol.ReplicaListJson;
import pinewick.protocol.TcpReplicaConnection;
import pinewick.state.Counters;
import pinewick.state.OpenQueries;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaDirectory;

/** Assembles the stages of a router's request pipeline with their shared state. */
final class RequestPipeline {
    final Counters counters = new Counters();
    final OpenQueries queries = new OpenQueries();
    final ReplicaDirectory replicas = new ReplicaDirectory();
    final ClientListener clientListener;
    final QueryRouter router;
    private final EventLoop loop;
    private final AttemptDispatcher dispatcher;
    private Supplier<String> extraMetrics = () -> "";
    private Consumer<List<SchedulerHost.ReplicaEntry>> listListener = any -> {};

    RequestPipeline(
            SchedulerHost.Deployment deployment,
            Limits limits,
            long seed,
            EventLoop loop,
            Log log,
            ByteBufferPool buffers,
            Consumer<TcpReplicaConnection> dialer) {
        this.loop = loop;
        clientListener = new ClientListener(loop, limits, buffers, this::metrics);
        dispatcher = new AttemptDispatcher(deployment, loop, limits, counters, replicas, dialer);
        ResponseSender responses = new ResponseSender(loop, queries, counters, dispatcher);
        CompletionHandler completion =
                new CompletionHandler(loop, log, queries, counters, replicas, dispatcher, responses);
        dispatcher.setCompletionHandler(completion);
        router = new QueryRouter(deployment, seed, loop, log, queries, counters, dispatcher, responses);
        completion.setRouter(router);
        AdmissionController admission = new AdmissionController(limits, loop, queries, counters, router, responses);
        double latencyTarget = deployment.serviceClasses().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::latencyTargetSeconds)
                .min()
                .orElse(1);
        double maxValue = deployment.serviceClasses().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::value)
                .max()
                .orElse(1);
        LoadShedder pressure = new LoadShedder(
                limits.tolerableLagShare() * latencyTarget,
                limits.lagDecaySeconds(),
                deployment.allowsRetryAfter()
                        ? Math.min(deployment.maxRetryAfterSeconds() / 1.5, limits.retryAfterShare() * latencyTarget)
                        : 0,
                maxValue,
                new SplittableRandom(seed));
        loop.setLoadShedder(pressure);
        clientListener.setRequestHandler(
                new RequestIntake(deployment, limits, counters, admission, completion, pressure, loop));
        loop.onBatchEnd(router::onBatchEnd);
    }

    /** Applies a list update: informs the scheduler and withdraws attempts that wait for unavailable replicas. */
    void onReplicaListUpdate(ReplicaListJson.Update update, SchedulerHost.ListUpdateKind kind) {
        if (kind != SchedulerHost.ListUpdateKind.INCREMENTAL) {
            replicas.markAllGone();
        }
        for (int index = 0; index < update.entries().size(); index++) {
            SchedulerHost.ReplicaEntry entry = update.entries().get(index);
            if (replicas.update(entry, update.addresses().get(index))) {
                dispatcher.retireConnections(entry.replicaId(), "address changed");
            }
        }
        router.onReplicaListUpdate(kind, update.entries());
        listListener.accept(update.entries());
        for (OutboundConnection connection : replicas.allConnections()) {
            if (!replicas.isReady(connection.replicaId())) {
                dispatcher.retireConnections(connection.replicaId(), "draining or gone");
            }
        }
        replicas.prune();
        counters.add("list-pieces");
    }

    /** Maintains connections; called periodically. */
    void housekeeping() {
        replicas.allConnections().forEach(OutboundConnection::checkIdle);
        clientListener.enforceTimeouts();
        counters.peak("peak-client-connections", clientListener.connectionCount());
    }

    /** Closes a pipeline that served only the warm-up. */
    void close() {
        router.stop();
        replicas.allConnections().forEach(connection -> connection.close("end of the warm-up"));
    }

    /** Sets a listener that gets the entries of each list update after the scheduler. */
    void setListListener(Consumer<List<SchedulerHost.ReplicaEntry>> listener) {
        listListener = listener;
    }

    /** Sets the action that reads pending list updates right before an attempt is written. */
    void setListReader(Runnable reader) {
        dispatcher.setListReader(reader);
    }

    /** Sets a source of further metrics, written before the pipeline's own. */
    void setExtraMetrics(Supplier<String> metrics) {
        extraMetrics = metrics;
    }

    /** All metrics, one line each. */
    String metrics() {
        return extraMetrics.get() + counters.text() + "awaiting " + queries.awaitingCount() + "\nkept "
                + queries.trackedCount()
                + "\nheld " + queries.heldCount() + "\nout "
                + queries.activeAttemptCount() + "\nsearcher-connections " + replicas.openCount()
                + "\nclient-connections "
                + clientListener.connectionCount() + "\nfaults " + loop.faults() + "\n";
    }
}
