package pinewick.lifecycle;

import io.undertow.connector.ByteBufferPool;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pinewick.core.SchedulerHost;
import pinewick.loop.Limits;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.loop.Pressure;
import pinewick.pipeline.AdmissionController;
import pinewick.pipeline.AttemptDispatcher;
import pinewick.pipeline.CompletionHandler;
import pinewick.pipeline.QueryRouter;
import pinewick.pipeline.RequestIntake;
import pinewick.pipeline.ResponseSender;
import pinewick.state.Counters;
import pinewick.state.OpenQueries;
import pinewick.state.OutboundConnection;
import pinewick.state.ReplicaDirectory;
import pinewick.wire.ClientDoor;
import pinewick.wire.ListText;
import pinewick.wire.SearcherLink;

/** The stages of one mixer, put together, with what they keep. */
final class RequestPipeline {
    final Counters counters = new Counters();
    final OpenQueries queries = new OpenQueries();
    final ReplicaDirectory replicas = new ReplicaDirectory();
    final ClientDoor door;
    final QueryRouter route;
    private final Loop loop;
    private final AttemptDispatcher send;
    private Supplier<String> others = () -> "";
    private Consumer<List<SchedulerHost.ReplicaEntry>> alsoListed = any -> {};

    RequestPipeline(
            SchedulerHost.Deployment given,
            Limits limits,
            long seed,
            Loop loop,
            Log log,
            ByteBufferPool buffers,
            Consumer<SearcherLink> dialer) {
        this.loop = loop;
        door = new ClientDoor(loop, limits, buffers, this::figures);
        send = new AttemptDispatcher(given, loop, limits, counters, replicas, dialer);
        ResponseSender relay = new ResponseSender(loop, queries, counters, send);
        CompletionHandler book = new CompletionHandler(loop, log, queries, counters, replicas, send, relay);
        send.passesTo(book);
        route = new QueryRouter(given, seed, loop, log, queries, counters, send, relay);
        book.tells(route);
        AdmissionController admit = new AdmissionController(limits, loop, queries, counters, route, relay);
        double goal = given.serviceClasses().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::latencyTargetSeconds)
                .min()
                .orElse(1);
        double value = given.serviceClasses().stream()
                .mapToDouble(SchedulerHost.ServiceClassConfig::value)
                .max()
                .orElse(1);
        Pressure pressure = new Pressure(
                limits.lagShare() * goal,
                limits.lagMemory(),
                given.allowsRetryAfter() ? Math.min(given.maxRetryAfterSeconds() / 1.5, limits.lagAdvice() * goal) : 0,
                value,
                new SplittableRandom(seed));
        loop.watches(pressure);
        door.opens(new RequestIntake(given, limits, counters, admit, book, pressure, loop));
        loop.atEndOfBatch(route::endOfBatch);
    }

    /** News of the list: the decisions are told, and what waits for a searcher that takes nothing new goes back. */
    void list(ListText.Piece piece, SchedulerHost.ListUpdateKind form) {
        if (form != SchedulerHost.ListUpdateKind.INCREMENTAL) {
            replicas.markAllGone();
        }
        for (int each = 0; each < piece.listings().size(); each++) {
            SchedulerHost.ReplicaEntry entry = piece.listings().get(each);
            if (replicas.update(entry, piece.addresses().get(each))) {
                send.leaves(entry.replicaId(), "address changed");
            }
        }
        route.list(form, piece.listings());
        alsoListed.accept(piece.listings());
        for (OutboundConnection link : replicas.allConnections()) {
            if (!replicas.isReady(link.replicaId())) {
                send.leaves(link.replicaId(), "draining or gone");
            }
        }
        replicas.prune();
        counters.add("list-pieces");
    }

    /** Looks after connections; to be called now and then. */
    void housekeeping() {
        replicas.allConnections().forEach(OutboundConnection::checkIdle);
        door.look();
        counters.peak("peak-client-connections", door.connections());
    }

    /** Ends a chain that was only tried out. */
    void end() {
        route.ends();
        replicas.allConnections().forEach(link -> link.close("end of the rehearsal"));
    }

    /** Is handed each piece of the list that came, after the decisions. */
    void listener(Consumer<List<SchedulerHost.ReplicaEntry>> to) {
        alsoListed = to;
    }

    /** How to read what has come of the list, right before a launch. */
    void looksAtList(Runnable look) {
        send.looks(look);
    }

    void alsoTells(Supplier<String> more) {
        others = more;
    }

    String figures() {
        return others.get() + counters.text() + "awaiting " + queries.awaitingCount() + "\nkept "
                + queries.trackedCount()
                + "\nheld " + queries.heldCount() + "\nout "
                + queries.activeAttemptCount() + "\nsearcher-connections " + replicas.openCount()
                + "\nclient-connections "
                + door.connections() + "\nfaults " + loop.faults() + "\n";
    }
}
