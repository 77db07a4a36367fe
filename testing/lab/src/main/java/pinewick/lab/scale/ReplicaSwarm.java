package pinewick.lab.scale;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import pinewick.model.SocketAddress;

/** Runs many hollow replicas on one thread. */
public final class ReplicaSwarm implements AutoCloseable {
    private static final long SELECT_TIMEOUT_MS = 5;
    private static final int SAMPLE_SLOTS = 24;

    private final Selector selector = Selector.open();
    private final HollowReplica.Tally tally = new HollowReplica.Tally();
    private final List<HollowReplica> replicas = new ArrayList<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "replicas");
    private volatile boolean closed;

    /** Heartbeat totals and latencies of one measurement interval. */
    record Heartbeats(
            long acknowledged, long failed, long bytesOut, long bytesIn, double medianMs, double p99Ms, double maxMs) {}

    /** @param startPeriodMs period over which the first heartbeats are spread, milliseconds */
    ReplicaSwarm(int count, List<SocketAddress> controllers, double startPeriodMs) throws IOException {
        this(IntStream.range(0, count).mapToObj(ReplicaSwarm::sampleProfile).toList(), controllers, startPeriodMs);
    }

    /** @param startPeriodMs period over which the first heartbeats are spread, milliseconds */
    public ReplicaSwarm(List<ReplicaProfile> profiles, List<SocketAddress> controllers, double startPeriodMs)
            throws IOException {
        double nowMs = HollowReplica.nowMs();
        for (int number = 0; number < profiles.size(); number++) {
            double firstHeartbeatMs = nowMs + startPeriodMs * number / profiles.size();
            replicas.add(
                    new HollowReplica(number, profiles.get(number), controllers, selector, tally, firstHeartbeatMs));
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** The profile of a replica of one of the services in {@link SampleConfiguration}. */
    private static ReplicaProfile sampleProfile(int number) {
        return new ReplicaProfile(
                SampleConfiguration.service(number),
                SocketAddress.parse(FleetAddresses.replica(number)),
                "zone-a1",
                SAMPLE_SLOTS,
                number % 9 < 2 ? "prefill" : "decode",
                "m" + number % SampleConfiguration.SERVICES);
    }

    int size() {
        return replicas.size();
    }

    public HollowReplica replica(int number) {
        return replicas.get(number);
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(this::onReady, SELECT_TIMEOUT_MS);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            double nowMs = HollowReplica.nowMs();
            replicas.forEach(replica -> replica.poll(nowMs));
        }
    }

    private void onReady(SelectionKey key) {
        ((HollowReplica) key.attachment()).onReady(key, HollowReplica.nowMs());
    }

    /** Runs an action on a replica, on the thread that owns it. */
    public void execute(int number, Consumer<HollowReplica> action) {
        tasks.add(() -> action.accept(replicas.get(number)));
        selector.wakeup();
    }

    /** The number of replicas that send their heartbeats to each controller. */
    int[] replicasByController(int controllers) {
        int[] counts = new int[controllers];
        replicas.forEach(replica -> counts[replica.controller()]++);
        return counts;
    }

    /** Whether every replica has had a heartbeat acknowledged. */
    public boolean allAcknowledged() {
        return replicas.stream().allMatch(HollowReplica::everAcknowledged);
    }

    /** The longest time since a replica's last acknowledged heartbeat, milliseconds. */
    double maxSilenceMs() {
        double nowMs = HollowReplica.nowMs();
        return replicas.stream()
                .mapToDouble(replica -> nowMs - replica.acknowledgedAtMs())
                .max()
                .orElse(0);
    }

    /** The heartbeats since the previous call of this method. */
    Heartbeats takeHeartbeats() throws InterruptedException {
        Heartbeats[] result = new Heartbeats[1];
        CountDownLatch done = new CountDownLatch(1);
        tasks.add(() -> {
            result[0] = new Heartbeats(
                    tally.acknowledged,
                    tally.failed,
                    tally.bytesOut,
                    tally.bytesIn,
                    tally.acknowledgementMicros.getValueAtPercentile(50) / 1e3,
                    tally.acknowledgementMicros.getValueAtPercentile(99) / 1e3,
                    tally.acknowledgementMicros.getMaxValue() / 1e3);
            tally.acknowledged = 0;
            tally.failed = 0;
            tally.bytesOut = 0;
            tally.bytesIn = 0;
            tally.acknowledgementMicros.reset();
            done.countDown();
        });
        selector.wakeup();
        done.await();
        return result[0];
    }

    /** The instance ids of the current incarnations. */
    List<String> instanceIds() {
        return IntStream.range(0, replicas.size())
                .mapToObj(number -> replicas.get(number).instanceId())
                .toList();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
