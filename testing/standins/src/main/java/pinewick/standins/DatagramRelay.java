package pinewick.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;

/**
 * Relays datagrams between processes on loopback and injects faults: datagrams are lost, duplicated, delayed and so
 * reordered, and links are blocked in one direction or both. As on the platform, each process has one relay address per
 * peer and one broadcast address. A peer receives a datagram from the relay address that represents the sender.
 */
public final class DatagramRelay implements AutoCloseable {
    private record DelayedDatagram(long at, long sequence, int from, int to, byte[] bytes) {}

    private record Link(int from, int to) {}

    private static final int ALL = -1;

    private final Selector selector = Selector.open();
    private final DatagramChannel[][] linkChannels;
    private final DatagramChannel[] broadcastChannels;
    private final List<InetSocketAddress> listenAddresses;
    private final PriorityQueue<DelayedDatagram> delayed = new PriorityQueue<>((one, other) ->
            one.at != other.at ? Long.compare(one.at, other.at) : Long.compare(one.sequence, other.sequence));
    private final ConcurrentLinkedQueue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final SplittableRandom random;
    private final Thread thread;
    private BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    private double lossProbability;
    private double duplicationProbability;
    private double minDelaySeconds;
    private double maxDelaySeconds;
    private long nextSequence;
    private volatile int maxDatagramBytes;
    private final AtomicLong deliveredCount = new AtomicLong();
    private volatile boolean closed;

    /** @param listenAddresses the address at which each process listens for datagrams, by index */
    public DatagramRelay(List<InetSocketAddress> listenAddresses, long seed) throws IOException {
        this.listenAddresses = listenAddresses;
        random = new SplittableRandom(seed);
        int size = listenAddresses.size();
        linkChannels = new DatagramChannel[size][size];
        broadcastChannels = new DatagramChannel[size];
        for (int from = 0; from < size; from++) {
            broadcastChannels[from] = open(new Link(from, ALL));
            for (int to = 0; to < size; to++) {
                linkChannels[from][to] = open(new Link(from, to));
            }
        }
        thread = new Thread(this::run, "datagram-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private DatagramChannel open(Link link) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, link);
        return channel;
    }

    /** The relay address at which one process reaches another. */
    public InetSocketAddress address(int from, int to) throws IOException {
        return (InetSocketAddress) linkChannels[from][to].getLocalAddress();
    }

    /** The relay address at which a process reaches all others. */
    public InetSocketAddress broadcastAddress(int from) throws IOException {
        return (InetSocketAddress) broadcastChannels[from].getLocalAddress();
    }

    /** Sets the probabilities of loss and duplication and the range of the delay in seconds, for all links. */
    public void setLinkQuality(double loss, double duplication, double minDelay, double maxDelay) {
        enqueue(() -> {
            lossProbability = loss;
            duplicationProbability = duplication;
            minDelaySeconds = minDelay;
            maxDelaySeconds = maxDelay;
        });
    }

    /** Blocks the links from sender to receiver for which this is true, from now on. */
    public void partition(BiPredicate<Integer, Integer> isBlocked) {
        enqueue(() -> blocked = isBlocked);
    }

    /**
     * Sends one datagram to a process from the relay address of another, exactly once: loss, duplication, delay and
     * blocked links do not apply to it.
     */
    public void inject(int from, int to, byte[] datagram) {
        byte[] copy = datagram.clone();
        enqueue(() -> deliver(new DelayedDatagram(System.nanoTime(), nextSequence++, from, to, copy)));
    }

    private void enqueue(Runnable command) {
        commands.add(command);
        selector.wakeup();
    }

    /** Size in bytes of the largest datagram received. */
    public int maxDatagramBytes() {
        return maxDatagramBytes;
    }

    public long deliveredCount() {
        return deliveredCount.get();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        try {
            while (!closed) {
                long waitMillis =
                        delayed.isEmpty() ? 100 : Math.max(1, (delayed.peek().at - System.nanoTime()) / 1_000_000);
                selector.select(waitMillis);
                for (Runnable next = commands.poll(); next != null; next = commands.poll()) {
                    next.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    Link link = (Link) key.attachment();
                    buffer.clear();
                    while (((DatagramChannel) key.channel()).receive(buffer) != null) {
                        buffer.flip();
                        byte[] bytes = new byte[buffer.remaining()];
                        buffer.get(bytes);
                        buffer.clear();
                        maxDatagramBytes = Math.max(maxDatagramBytes, bytes.length);
                        for (int to = 0; to < listenAddresses.size(); to++) {
                            if (to != link.from && (link.to == ALL || link.to == to)) {
                                relay(link.from, to, bytes);
                            }
                        }
                    }
                }
                selector.selectedKeys().clear();
                while (!delayed.isEmpty() && delayed.peek().at <= System.nanoTime()) {
                    deliver(delayed.poll());
                }
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            closed = true;
        }
    }

    private void relay(int from, int to, byte[] bytes) {
        int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
        for (int each = 0; each < copies; each++) {
            if (random.nextDouble() >= lossProbability && !blocked.test(from, to)) {
                double seconds = minDelaySeconds + (maxDelaySeconds - minDelaySeconds) * random.nextDouble();
                delayed.add(new DelayedDatagram(
                        System.nanoTime() + Math.round(seconds * 1e9), nextSequence++, from, to, bytes));
            }
        }
    }

    private void deliver(DelayedDatagram datagram) {
        try {
            linkChannels[datagram.to][datagram.from].send(
                    ByteBuffer.wrap(datagram.bytes), listenAddresses.get(datagram.to));
            deliveredCount.incrementAndGet();
        } catch (IOException e) {
            // Nothing listens at that address: the datagram is lost.
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        for (SelectionKey key : List.copyOf(new ArrayList<>(selector.keys()))) {
            key.channel().close();
        }
        selector.close();
    }
}
