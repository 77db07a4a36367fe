package pinewick.lifecycle;

import java.io.IOException;
import java.util.SplittableRandom;
import org.xnio.XnioWorker;
import pinewick.fleet.Datagram;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;
import pinewick.fleet.state.FactDatagram;
import pinewick.loop.Log;
import pinewick.loop.Loop;
import pinewick.wire.PeerSocket;

/** The view of the other mixers, put together with its socket and the loop's clock for one mixer. */
final class MembershipService {
    /** Told the counts of mixers whenever one changes. */
    interface RouterCountListener {
        /**
         * @param live for spreading work: the best guess
         * @param most for shares of a budget that all keep together: never too low
         */
        void mixers(int live, int most);
    }

    /** Looks at the clock in a period. */
    private static final double LOOKS = 8;

    private final StartupConfig.Peers first;
    private final double tick;
    private final Loop loop;
    private final Log log;
    private final RouterCountListener counts;
    private final MembershipView view;
    private final PeerSocket socket;
    /** Null where nothing is replicated. */
    private final FactReplicationService state;

    private int toldLive = -1;
    private int toldMost = -1;
    private boolean over;

    /** @param replicated null where nothing is */
    MembershipService(
            StartupConfig.Peers peers,
            MembershipSettings terms,
            OperatorConfig.Replicated replicated,
            long seed,
            XnioWorker worker,
            Loop loop,
            Log log,
            RouterCountListener counts)
            throws IOException {
        this.first = peers;
        this.loop = loop;
        this.log = log;
        this.counts = counts;
        tick = terms.probeIntervalSeconds() / LOOKS;
        socket = new PeerSocket(peers.listen(), Datagram.MAX_BYTES, worker, loop, this::took);
        socket.listed(peers.peers(), peers.all());
        view = new MembershipView(
                peers.peers().size(),
                peers.self(),
                Math.round(loop.now() * 1e3),
                terms,
                new SplittableRandom(seed),
                new MembershipView.Transport() {
                    @Override
                    public void send(int place, byte[] datagram) {
                        socket.send(place, datagram);
                    }

                    @Override
                    public boolean broadcast(byte[] datagram) {
                        return socket.sendAll(datagram);
                    }
                },
                this::changed);
        state = replicated == null
                ? null
                : new FactReplicationService(
                        peers.peers().size(),
                        peers.self(),
                        seed ^ 0x57A7E,
                        replicated.snapshot() == null
                                ? null
                                : new SnapshotFile(
                                        replicated.snapshot(), text -> log.say(Log.Level.WARNING, "fleet", text)),
                        replicated.every(),
                        loop,
                        log,
                        socket::send,
                        place -> place < view.size() && view.state(place) == MemberState.ALIVE);
    }

    /** What the other mixers see of the searchers; null where nothing is replicated. */
    FactReplicationService state() {
        return state;
    }

    void start() {
        log.say(
                Log.Level.INFO,
                "fleet",
                "mixer " + first.self() + " of " + first.peers().size() + ", datagrams at " + first.listen(),
                "place",
                Integer.toString(first.self()));
        view.start(loop.now());
        if (state != null) {
            state.start();
        }
        tells();
        ticks();
    }

    private void ticks() {
        loop.after(tick, "looking at the mixers", () -> {
            if (!over) {
                view.tick(loop.now());
                if (state != null) {
                    state.tick();
                }
                tells();
                ticks();
            }
        });
    }

    private void took(int place, byte[] datagram, int length) {
        if (place < 0) {
            view.onUnknownSender();
        } else if (length > 0 && datagram[0] == FactDatagram.VERSION) {
            if (state != null) {
                state.took(place, datagram, length);
            }
        } else {
            view.onDatagram(loop.now(), place, datagram, length);
        }
    }

    private void changed(int place, MemberState was, MemberState is) {
        if (was == MemberState.UNHEARD && is == MemberState.ALIVE) {
            return; // At a start all others come so, and a line each would crowd out the rest of the log.
        }
        log.say(
                is == MemberState.DEAD ? Log.Level.WARNING : Log.Level.INFO,
                "fleet",
                "mixer " + place + ": " + was.name().toLowerCase(java.util.Locale.ROOT) + " to "
                        + is.name().toLowerCase(java.util.Locale.ROOT),
                "place",
                Integer.toString(place),
                "standing",
                is.name());
    }

    private void tells() {
        int live = view.estimatedSenders();
        int most = view.maxSenders(loop.now());
        if (live != toldLive || most != toldMost) {
            toldLive = live;
            toldMost = most;
            counts.mixers(live, most);
        }
    }

    /** The configuration was read anew; the mixers in it are the ones from now on. */
    void listed(StartupConfig.Peers peers) {
        socket.listed(peers.peers(), peers.all());
        if (peers.peers().size() != view.size() || peers.self() != view.self()) {
            log.say(
                    Log.Level.INFO,
                    "fleet",
                    "mixers listed: " + peers.peers().size() + ", " + view.size() + " before",
                    "mixers",
                    Integer.toString(peers.peers().size()));
            view.onMemberListChanged(loop.now(), peers.peers().size(), peers.self());
            if (state != null) {
                state.listed(peers.peers().size());
            }
            tells();
        }
    }

    /** Tells the others that this one stops. */
    void leave() {
        view.leave(loop.now());
        over = true;
    }

    String figures() {
        return view.metrics() + "fleet-unsent " + socket.unsent() + "\n" + (state == null ? "" : state.figures());
    }
}
