package pinewick.life;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import pinewick.Host;
import pinewick.memory.Counters;
import pinewick.memory.OpenQueries;
import pinewick.memory.Searchers;
import pinewick.stages.Admit;
import pinewick.stages.Book;
import pinewick.stages.Relay;
import pinewick.stages.Route;
import pinewick.stages.Send;
import pinewick.stages.TakeIn;
import pinewick.wire.ClientDoor;
import pinewick.wire.ListText;
import pinewick.wire.ListWatch;
import pinewick.wire.SearcherLink;

/** One mixer from its start to its end: builds the stages, opens the door, follows the list, leaves in order. */
final class Serve {
    private static final double HOUSEKEEPING = 0.25;

    private final StartOrders orders;
    private final Limits limits;
    private final Log log;
    private final Loop loop;
    private final Counters counters = new Counters();
    private final OpenQueries queries = new OpenQueries();
    private final Searchers searchers = new Searchers();
    private final XnioWorker worker;
    private final ClientDoor door;
    private Send send;
    private Route route;
    private ListWatch watch;
    private AcceptingChannel<StreamConnection> listener;
    private boolean leaving;

    Serve(StartOrders orders, Log log) throws IOException {
        this.orders = orders;
        this.limits = orders.limits();
        this.log = log;
        worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 0).set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.THREAD_DAEMON, false).set(Options.WORKER_NAME, "pinewick").getMap());
        loop = new Loop(worker.getIoThread(), log);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, 8 << 10, 256, 4);
        door = new ClientDoor(loop, limits, buffers, this::figures);
        loop.later("starting", () -> start(buffers));
    }

    private void start(ByteBufferPool buffers) {
        send = new Send(orders.deployment(), loop, limits, counters, searchers);
        Relay relay = new Relay(queries, counters, send);
        Book book = new Book(loop, log, queries, counters, searchers, send, relay);
        send.passesTo(book);
        route = new Route(orders.deployment(), orders.seed(), loop, log, queries, counters, send, relay);
        book.tells(route);
        Admit admit = new Admit(limits, queries, counters, route, relay);
        loop.atEndOfBatch(route::endOfBatch);
        list(orders.known(), Host.ListForm.CACHED);
        watch = new ListWatch(orders.discovery(), loop, limits, log, buffers, orders.known().revision(),
            piece -> list(piece, piece.whole() ? Host.ListForm.WHOLE : Host.ListForm.CHANGES),
            () -> {
                if (orders.deployment().mustAsk()) {
                    route.list(Host.ListForm.FAILED, List.of());
                }
            });
        watch.open();
        door.opens(new TakeIn(orders.deployment(), limits, counters, admit, book));
        try {
            listener = worker.createStreamConnectionServer(orders.listen(), ChannelListeners.openListenerAdapter(door),
                OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, 1024).set(Options.CONNECTION_HIGH_WATER, limits.clientSockets())
                    .set(Options.CONNECTION_LOW_WATER, limits.clientSockets() - 1).getMap());
            listener.resumeAccepts();
        } catch (IOException wrong) {
            log.say("EDGE_LISTEN: can't listen at " + orders.listen() + ": " + wrong.getMessage());
            System.exit(2);
        }
        housekeeping();
        door.ready(true);
        log.say("ready at " + orders.listen());
    }

    private void list(ListText.Piece piece, Host.ListForm form) {
        if (form != Host.ListForm.CHANGES) {
            searchers.allGone();
        }
        for (int each = 0; each < piece.listings().size(); each++) {
            Host.Listing entry = piece.listings().get(each);
            if (searchers.listed(entry, piece.addresses().get(each))) {
                send.leaves(entry.searcher(), "address changed");
            }
        }
        route.list(form, piece.listings());
        for (SearcherLink link : searchers.allLinks()) {
            if (!searchers.takesNew(link.searcher())) {
                send.leaves(link.searcher(), "draining or gone");
            }
        }
        searchers.prune();
        counters.add("list-pieces");
    }

    private void housekeeping() {
        loop.after(HOUSEKEEPING, "housekeeping", () -> {
            searchers.allLinks().forEach(SearcherLink::look);
            door.prune();
            counters.peak("peak-client-connections", door.connections());
            housekeeping();
        });
    }

    /** Leaves in order: nothing that was taken stays without its answer. */
    void stop() {
        loop.later("stopping", () -> {
            if (leaving) {
                return;
            }
            leaving = true;
            log.say("stopping");
            door.leaves();
            loop.after(limits.frontNotice(), "closing the door", () -> {
                IoUtils.safeClose(listener);
                door.closeIdle();
                finish(loop.now() + limits.stopMost());
            });
        });
    }

    private void finish(double latest) {
        door.closeIdle();
        if ((queries.awaiting() == 0 && door.connections() == 0) || loop.now() >= latest) {
            log.say("stopped; " + figures().replace('\n', ';'));
            Runtime.getRuntime().halt(0);
        }
        loop.after(0.02, "ending", () -> finish(latest));
    }

    private String figures() {
        return counters.text() + "awaiting " + queries.awaiting() + "\nheld " + queries.held()
            + "\nsearcher-connections " + searchers.open() + "\nclient-connections " + door.connections()
            + "\nfaults " + loop.faults() + "\n";
    }
}
