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
 * Carries datagrams between processes on loopback, and breaks the way: a share is lost, doubled or late (and so out of
 * order), some hear others only one way or not at all. Each process has an address of its own here for each other one
 * and one for all, as the platform gives them; what it sends there reaches the other from the address that stands for
 * it.
 */
public final class DatagramRelay implements AutoCloseable {
    private record Late(long at, long number, int from, int to, byte[] bytes) {}

    private record Way(int from, int to) {}

    private static final int ALL = -1;

    private final Selector selector = Selector.open();
    private final DatagramChannel[][] ways;
    private final DatagramChannel[] toAll;
    private final List<InetSocketAddress> homes;
    private final PriorityQueue<Late> late = new PriorityQueue<>((one, other) ->
            one.at != other.at ? Long.compare(one.at, other.at) : Long.compare(one.number, other.number));
    private final ConcurrentLinkedQueue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final SplittableRandom chance;
    private final Thread thread;
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private double loss;
    private double doubled;
    private double least;
    private double most;
    private long numbers;
    private volatile int longest;
    private final AtomicLong carried = new AtomicLong();
    private volatile boolean over;

    /** @param homes where each process listens for datagrams */
    public DatagramRelay(List<InetSocketAddress> homes, long seed) throws IOException {
        this.homes = homes;
        chance = new SplittableRandom(seed);
        int size = homes.size();
        ways = new DatagramChannel[size][size];
        toAll = new DatagramChannel[size];
        for (int from = 0; from < size; from++) {
            toAll[from] = open(new Way(from, ALL));
            for (int to = 0; to < size; to++) {
                ways[from][to] = open(new Way(from, to));
            }
        }
        thread = new Thread(this::run, "datagram-relay");
        thread.setDaemon(true);
        thread.start();
    }

    private DatagramChannel open(Way way) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, way);
        return channel;
    }

    /** The address by which one process reaches another. */
    public InetSocketAddress address(int from, int to) throws IOException {
        return (InetSocketAddress) ways[from][to].getLocalAddress();
    }

    /** The address by which it reaches all. */
    public InetSocketAddress addressOfAll(int from) throws IOException {
        return (InetSocketAddress) toAll[from].getLocalAddress();
    }

    /** From now on: shares lost and doubled, seconds late at least and at most. */
    public void links(double lost, double twice, double earliest, double latest) {
        ask(() -> {
            loss = lost;
            doubled = twice;
            least = earliest;
            most = latest;
        });
    }

    /** From whom to whom nothing goes through from now on. */
    public void cut(BiPredicate<Integer, Integer> from) {
        ask(() -> cut = from);
    }

    /**
     * Sends one datagram to a process from the address that stands for another, exactly once: the loss, doubling, delay
     * and cuts of the links do not apply to it.
     */
    public void inject(int from, int to, byte[] datagram) {
        byte[] copy = datagram.clone();
        ask(() -> deliver(new Late(System.nanoTime(), numbers++, from, to, copy)));
    }

    private void ask(Runnable what) {
        asked.add(what);
        selector.wakeup();
    }

    /** Bytes of the longest datagram that came. */
    public int longest() {
        return longest;
    }

    public long carried() {
        return carried.get();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        try {
            while (!over) {
                long wait = late.isEmpty() ? 100 : Math.max(1, (late.peek().at - System.nanoTime()) / 1_000_000);
                selector.select(wait);
                for (Runnable next = asked.poll(); next != null; next = asked.poll()) {
                    next.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    Way way = (Way) key.attachment();
                    buffer.clear();
                    while (((DatagramChannel) key.channel()).receive(buffer) != null) {
                        buffer.flip();
                        byte[] bytes = new byte[buffer.remaining()];
                        buffer.get(bytes);
                        buffer.clear();
                        longest = Math.max(longest, bytes.length);
                        for (int to = 0; to < homes.size(); to++) {
                            if (to != way.from && (way.to == ALL || way.to == to)) {
                                carry(way.from, to, bytes);
                            }
                        }
                    }
                }
                selector.selectedKeys().clear();
                while (!late.isEmpty() && late.peek().at <= System.nanoTime()) {
                    deliver(late.poll());
                }
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException gone) {
            over = true;
        }
    }

    private void carry(int from, int to, byte[] bytes) {
        int copies = chance.nextDouble() < doubled ? 2 : 1;
        for (int each = 0; each < copies; each++) {
            if (chance.nextDouble() >= loss && !cut.test(from, to)) {
                double seconds = least + (most - least) * chance.nextDouble();
                late.add(new Late(System.nanoTime() + Math.round(seconds * 1e9), numbers++, from, to, bytes));
            }
        }
    }

    private void deliver(Late one) {
        try {
            ways[one.to][one.from].send(ByteBuffer.wrap(one.bytes), homes.get(one.to));
            carried.incrementAndGet();
        } catch (IOException nobody) {
            // Nobody listens there: lost.
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        selector.wakeup();
        for (SelectionKey key : List.copyOf(new ArrayList<>(selector.keys()))) {
            key.channel().close();
        }
        selector.close();
    }
}
