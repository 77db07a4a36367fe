package pinewick.emulator;

import java.util.SplittableRandom;
import pinewick.fleet.state.FactReplicationSettings;
import pinewick.fleet.state.FactReplicator;

/** What mixers replicate of searchers, a whole tier of them in virtual time, over links that a story breaks. */
public final class SimulatedStateFleet {
    private final SimulatedDatagrams datagrams;
    private final FactReplicator[] states;
    private final FactReplicationSettings terms;
    private final SplittableRandom random;
    private long malformedDatagrams;

    public SimulatedStateFleet(int size, long seed, FactReplicationSettings terms) {
        random = new SplittableRandom(seed);
        this.terms = terms;
        datagrams = new SimulatedDatagrams(size, 0.044, random.split(), 1000);
        states = new FactReplicator[size];
    }

    public SimulatedDatagrams datagrams() {
        return datagrams;
    }

    public FactReplicator state(int member) {
        return states[member];
    }

    public int size() {
        return states.length;
    }

    public SimulatedStateFleet startAll() {
        for (int member = 0; member < states.length; member++) {
            start(member);
        }
        return this;
    }

    /** A member starts, knowing nothing. Who lives is known at once here; the view has its own stories. */
    public void start(int member) {
        FactReplicator state = new FactReplicator(
                states.length,
                member,
                terms,
                random.split(),
                (to, datagram) -> datagrams.send(member, to, datagram),
                datagrams::isRunning);
        states[member] = state;
        datagrams.start(member, new SimulatedDatagrams.Program() {
            @Override
            public void tick(double now) {
                state.tick(now);
            }

            @Override
            public void datagram(double now, int from, byte[] bytes) {
                malformedDatagrams += state.onDatagram(now, from, bytes, bytes.length) == null ? 0 : 1;
            }
        });
        state.start(datagrams.now());
    }

    /** Datagrams that could not be read. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    public long sentBytes() {
        long bytes = 0;
        for (FactReplicator each : states) {
            bytes += each.sentBytes();
        }
        return bytes;
    }

    /** How many live members hold other copies than the most common one. */
    public int divergentMembers() {
        java.util.Map<Long, Integer> digests = new java.util.HashMap<>();
        int live = 0;
        for (int member = 0; member < states.length; member++) {
            if (datagrams.isRunning(member)) {
                digests.merge(states[member].store().digest(), 1, Integer::sum);
                live++;
            }
        }
        return live - digests.values().stream().mapToInt(each -> each).max().orElse(0);
    }
}
