package pinewick.lifecycle;

import java.io.IOException;
import java.util.SplittableRandom;
import org.xnio.XnioWorker;
import pinewick.fleet.Datagram;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;
import pinewick.fleet.state.FactDatagram;
import pinewick.loop.EventLoop;
import pinewick.loop.Log;
import pinewick.protocol.PeerSocket;

/** Connects this router's membership view with its UDP socket and the loop's clock. */
final class MembershipService {
    /** Receives the router counts whenever one changes. */
    interface RouterCountListener {
        /**
         * @param live the best estimate of live routers, for spreading work
         * @param sending the routers that may be sending, never too low, for shares of a common budget
         */
        void onRouterCount(int live, int sending);
    }

    private static final double TICKS_PER_PROBE_INTERVAL = 8;

    private final StartupConfig.Peers peersAtStart;
    private final double tickSeconds;
    private final EventLoop loop;
    private final Log log;
    private final RouterCountListener countListener;
    private final MembershipView view;
    private final PeerSocket socket;
    /** Null if replication is off. */
    private final FactReplicationService facts;

    private int reportedLive = -1;
    private int reportedSending = -1;
    private boolean stopped;

    /** @param replication null if replication is off */
    MembershipService(
            StartupConfig.Peers peers,
            MembershipSettings settings,
            OperatorConfig.Replication replication,
            long seed,
            XnioWorker worker,
            EventLoop loop,
            Log log,
            RouterCountListener countListener)
            throws IOException {
        this.peersAtStart = peers;
        this.loop = loop;
        this.log = log;
        this.countListener = countListener;
        tickSeconds = settings.probeIntervalSeconds() / TICKS_PER_PROBE_INTERVAL;
        socket = new PeerSocket(peers.listen(), Datagram.MAX_BYTES, worker, loop, this::onDatagram);
        socket.setPeers(peers.peers(), peers.broadcast());
        view = new MembershipView(
                peers.peers().size(),
                peers.self(),
                Math.round(loop.now() * 1e3),
                settings,
                new SplittableRandom(seed),
                new MembershipView.Transport() {
                    @Override
                    public void send(int member, byte[] datagram) {
                        socket.send(member, datagram);
                    }

                    @Override
                    public boolean broadcast(byte[] datagram) {
                        return socket.sendAll(datagram);
                    }
                },
                this::onStateChanged);
        facts = replication == null
                ? null
                : new FactReplicationService(
                        peers.peers().size(),
                        peers.self(),
                        seed ^ 0x57A7E,
                        replication.snapshot() == null
                                ? null
                                : new SnapshotFile(
                                        replication.snapshot(), text -> log.log(Log.Level.WARNING, "fleet", text)),
                        replication.snapshotIntervalSeconds(),
                        loop,
                        log,
                        socket::send,
                        member -> member < view.size() && view.state(member) == MemberState.ALIVE);
    }

    /** The replicated observations of replicas; null if replication is off. */
    FactReplicationService facts() {
        return facts;
    }

    void start() {
        log.log(
                Log.Level.INFO,
                "fleet",
                "mixer " + peersAtStart.self() + " of " + peersAtStart.peers().size() + ", datagrams at "
                        + peersAtStart.listen(),
                "place",
                Integer.toString(peersAtStart.self()));
        view.start(loop.now());
        if (facts != null) {
            facts.start();
        }
        reportCounts();
        scheduleTick();
    }

    private void scheduleTick() {
        loop.after(tickSeconds, "membership tick", () -> {
            if (!stopped) {
                view.tick(loop.now());
                if (facts != null) {
                    facts.tick();
                }
                reportCounts();
                scheduleTick();
            }
        });
    }

    private void onDatagram(int member, byte[] datagram, int length) {
        if (member < 0) {
            view.onUnknownSender();
        } else if (length > 0 && datagram[0] == FactDatagram.VERSION) {
            if (facts != null) {
                facts.onDatagram(member, datagram, length);
            }
        } else {
            view.onDatagram(loop.now(), member, datagram, length);
        }
    }

    private void onStateChanged(int member, MemberState before, MemberState after) {
        if (before == MemberState.UNHEARD && after == MemberState.ALIVE) {
            return; // At start all others change this way; one line each would crowd out the rest of the log.
        }
        log.log(
                after == MemberState.DEAD ? Log.Level.WARNING : Log.Level.INFO,
                "fleet",
                "mixer " + member + ": " + before.name().toLowerCase(java.util.Locale.ROOT) + " to "
                        + after.name().toLowerCase(java.util.Locale.ROOT),
                "place",
                Integer.toString(member),
                "standing",
                after.name());
    }

    private void reportCounts() {
        int live = view.estimatedSenders();
        int sending = view.maxSenders(loop.now());
        if (live != reportedLive || sending != reportedSending) {
            reportedLive = live;
            reportedSending = sending;
            countListener.onRouterCount(live, sending);
        }
    }

    /** Applies the peers of a reloaded configuration. */
    void onPeersChanged(StartupConfig.Peers peers) {
        socket.setPeers(peers.peers(), peers.broadcast());
        if (peers.peers().size() != view.size() || peers.self() != view.self()) {
            log.log(
                    Log.Level.INFO,
                    "fleet",
                    "mixer list changed: " + peers.peers().size() + ", " + view.size() + " previously",
                    "mixers",
                    Integer.toString(peers.peers().size()));
            view.onMemberListChanged(loop.now(), peers.peers().size(), peers.self());
            if (facts != null) {
                facts.onMemberListChanged(peers.peers().size());
            }
            reportCounts();
        }
    }

    /** Tells the other routers that this one is leaving. */
    void leave() {
        view.leave(loop.now());
        stopped = true;
    }

    String metrics() {
        return view.metrics() + "fleet-unsent " + socket.unsentCount() + "\n" + (facts == null ? "" : facts.metrics());
    }
}
