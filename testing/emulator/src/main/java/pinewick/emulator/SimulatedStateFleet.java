package pinewick.emulator;

import java.util.SplittableRandom;
import pinewick.fleet.state.FactReplicationSettings;
import pinewick.fleet.state.FactReplicator;

/**
 * Simulates the replication of facts about search replicas among query routers: a complete fleet in virtual time, over
 * links whose faults the caller controls.
 */
public final class SimulatedStateFleet {
    private final SimulatedDatagrams datagrams;
    private final FactReplicator[] replicators;
    private final FactReplicationSettings settings;
    private final SplittableRandom random;
    private long malformedDatagrams;

    public SimulatedStateFleet(int size, long seed, FactReplicationSettings settings) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        datagrams = new SimulatedDatagrams(size, 0.044, random.split(), 1000);
        replicators = new FactReplicator[size];
    }

    public SimulatedDatagrams datagrams() {
        return datagrams;
    }

    public FactReplicator state(int member) {
        return replicators[member];
    }

    public int size() {
        return replicators.length;
    }

    public SimulatedStateFleet startAll() {
        for (int member = 0; member < replicators.length; member++) {
            start(member);
        }
        return this;
    }

    /**
     * Starts a member with an empty store. Which members run is known without delay here;
     * {@link SimulatedQueryRouterFleet} simulates the membership view.
     */
    public void start(int member) {
        FactReplicator state = new FactReplicator(
                replicators.length,
                member,
                settings,
                random.split(),
                (to, datagram) -> datagrams.send(member, to, datagram),
                datagrams::isRunning);
        replicators[member] = state;
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

    /** How many received datagrams could not be parsed. */
    public long malformedDatagrams() {
        return malformedDatagrams;
    }

    public long sentBytes() {
        long bytes = 0;
        for (FactReplicator replicator : replicators) {
            bytes += replicator.sentBytes();
        }
        return bytes;
    }

    /** How many running members have a store with another digest than the most common one. */
    public int divergentMembers() {
        java.util.Map<Long, Integer> digests = new java.util.HashMap<>();
        int running = 0;
        for (int member = 0; member < replicators.length; member++) {
            if (datagrams.isRunning(member)) {
                digests.merge(replicators[member].store().digest(), 1, Integer::sum);
                running++;
            }
        }
        return running
                - digests.values().stream().mapToInt(count -> count).max().orElse(0);
    }
}
