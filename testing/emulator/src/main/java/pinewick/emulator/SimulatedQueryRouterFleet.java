package pinewick.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import pinewick.fleet.MemberState;
import pinewick.fleet.MembershipSettings;
import pinewick.fleet.MembershipView;

/**
 * The mixers' views of each other, a whole tier of them in virtual time, over links that a story breaks. Times are
 * seconds.
 */
public final class SimulatedQueryRouterFleet {
    private static final double TICK_SECONDS = 0.05;

    private final SimulatedDatagrams datagrams;
    private final MembershipView[] views;
    private final List<String> deaths = new ArrayList<>();
    private final SplittableRandom random;
    private final MembershipSettings terms;
    private final boolean hasBroadcast;

    public SimulatedQueryRouterFleet(int size, long seed) {
        this(size, seed, MembershipSettings.defaults(), true);
    }

    /** @param all whether there is a way to send to all at once */
    public SimulatedQueryRouterFleet(int size, long seed, MembershipSettings terms, boolean all) {
        random = new SplittableRandom(seed);
        this.terms = terms;
        this.hasBroadcast = all;
        datagrams = new SimulatedDatagrams(size, TICK_SECONDS, random.split(), 1000);
        views = new MembershipView[size];
    }

    public SimulatedDatagrams datagrams() {
        return datagrams;
    }

    public int size() {
        return views.length;
    }

    public MembershipView view(int member) {
        return views[member];
    }

    /** Each death that any member declared or was told of: its place, "by", and the place of who held it so. */
    public List<String> deaths() {
        return deaths;
    }

    public SimulatedQueryRouterFleet startAll() {
        for (int member = 0; member < views.length; member++) {
            start(member);
        }
        return this;
    }

    public void start(int member) {
        startWith(member, Math.round(datagrams.now() * 1000));
    }

    /** With an incarnation of the story's choice. */
    public void startWith(int member, long incarnation) {
        MembershipView view = new MembershipView(
                views.length,
                member,
                incarnation,
                terms,
                random.split(),
                new MembershipView.Transport() {
                    @Override
                    public void send(int to, byte[] datagram) {
                        datagrams.send(member, to, datagram);
                    }

                    @Override
                    public boolean broadcast(byte[] datagram) {
                        if (hasBroadcast) {
                            datagrams.sendAll(member, datagram);
                        }
                        return hasBroadcast;
                    }
                },
                (other, before, after) -> {
                    if (after == MemberState.DEAD) {
                        deaths.add(other + " by " + member);
                    }
                });
        views[member] = view;
        datagrams.start(member, new SimulatedDatagrams.Program() {
            @Override
            public void tick(double now) {
                view.tick(now);
            }

            @Override
            public void datagram(double now, int from, byte[] bytes) {
                view.onDatagram(now, from, bytes, bytes.length);
            }
        });
        view.start(datagrams.now());
    }

    public long sent() {
        long datagrams = 0;
        for (MembershipView each : views) {
            datagrams += each.sent();
        }
        return datagrams;
    }

    public long sentBytes() {
        long bytes = 0;
        for (MembershipView each : views) {
            bytes += each.sentBytes();
        }
        return bytes;
    }

    /** Whether this member holds exactly the live ones for taking part, at their newest incarnations. */
    public boolean hasTrueView(int member) {
        for (int other = 0; other < views.length; other++) {
            if (views[member].state(other).isActive() != datagrams.isRunning(other)
                    || (datagrams.isRunning(other)
                            && views[member].incarnation(other) != views[other].incarnation(other))) {
                return false;
            }
        }
        return true;
    }

    private boolean isConverged() {
        for (int member = 0; member < views.length; member++) {
            if (datagrams.isRunning(member) && !hasTrueView(member)) {
                return false;
            }
        }
        return true;
    }

    /** Lets time pass until all live members hold the same, true view; seconds it took, NaN if not within so many. */
    public double secondsToConverge(double within) {
        return until(within, this::isConverged);
    }

    /**
     * The same, by member: when each live one came to hold the true view for good, seconds from now; NaN for those that
     * did not within so many.
     */
    public double[] secondsToConvergePerMember(double within) {
        double from = datagrams.now();
        double[] since = new double[views.length];
        java.util.Arrays.fill(since, Double.NaN);
        boolean all = false;
        while (!all && datagrams.now() - from <= within) {
            all = true;
            for (int member = 0; member < views.length; member++) {
                if (datagrams.isRunning(member)) {
                    boolean isTrue = hasTrueView(member);
                    since[member] =
                            !isTrue ? Double.NaN : Double.isNaN(since[member]) ? datagrams.now() - from : since[member];
                    all &= isTrue;
                }
            }
            datagrams.run(datagrams.now() + TICK_SECONDS);
        }
        return java.util.stream.IntStream.range(0, views.length)
                .filter(datagrams::isRunning)
                .mapToDouble(member -> since[member])
                .toArray();
    }

    private double until(double within, BooleanSupplier condition) {
        double from = datagrams.now();
        while (!condition.getAsBoolean()) {
            if (datagrams.now() - from > within) {
                return Double.NaN;
            }
            datagrams.run(datagrams.now() + TICK_SECONDS);
        }
        return datagrams.now() - from;
    }
}
