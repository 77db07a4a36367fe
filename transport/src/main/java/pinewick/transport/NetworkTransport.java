package pinewick.transport;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Messages over sockets: those that fit a datagram by UDP, larger ones over a connection that is kept to each peer. One
 * thread accepts, reads, writes connections and calls the receiver; datagrams leave on the thread that sends them. A
 * peer that does not read holds up nothing but its own bounded queue.
 */
public final class NetworkTransport implements Transport {
    /** Longest frame that is sent as a datagram, bytes. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int DATAGRAMS_A_TURN = 64;
    private static final int MAX_CACHED_ADDRESSES = 4_096;
    private static final int BACKLOG = 256;
    private static final long BUSY_SWEEP_MS = 100;
    private static final long QUIET_SWEEP_MS = 5_000;
    private static final double NANOS_A_MILLISECOND = 1e6;

    private final MessageCodec codec;
    private final TransportCounters counters = new TransportCounters();
    private final Selector selector;
    private final ServerSocketChannel server;
    private final DatagramChannel datagrams;
    private final SocketAddress local;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(RECEIVE_BUFFER_BYTES);
    private final Map<SocketAddress, OutgoingConnection> outgoing = new ConcurrentHashMap<>();
    private final Map<SocketAddress, InetSocketAddress> resolved = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, SocketAddress> senders = new HashMap<>();
    private final Queue<OutgoingConnection> toService = new ConcurrentLinkedQueue<>();
    private final List<IncomingConnection> incoming = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "transport");
    private BiConsumer<SocketAddress, Message> receiver;
    private double sweptAtMs = nowMs();
    private volatile boolean closed;

    /**
     * Binds both sockets.
     *
     * @param local where to listen; port 0 takes any that is free for both
     * @throws TransportException if the address cannot be used
     */
    public NetworkTransport(SocketAddress local, MessageCodec codec) throws TransportException {
        this.codec = codec;
        try {
            selector = Selector.open();
            server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(local.host(), local.port()), BACKLOG);
            int port = ((InetSocketAddress) server.getLocalAddress()).getPort();
            this.local = new SocketAddress(local.host(), port);
            datagrams = DatagramChannel.open();
            datagrams.bind(new InetSocketAddress(local.host(), port));
            server.configureBlocking(false);
            datagrams.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, new Acceptor());
            datagrams.register(selector, SelectionKey.OP_READ, new DatagramReader());
        } catch (IOException | RuntimeException e) {
            throw new TransportException("bind", local, e);
        }
        thread.setDaemon(true);
    }

    /** What was sent, received and dropped. */
    public TransportCounters counters() {
        return counters;
    }

    @Override
    public SocketAddress localAddress() {
        return local;
    }

    @Override
    public void start(BiConsumer<SocketAddress, Message> messageReceiver) {
        receiver = messageReceiver;
        thread.start();
    }

    @Override
    public void send(SocketAddress peer, Message message) {
        byte[] frame = encode(peer, message);
        if (frame != null) {
            sendFrame(peer, frame);
        }
    }

    /** Sends one message to several peers; it is encoded once. */
    public void sendToAll(List<SocketAddress> peers, Message message) {
        if (peers.isEmpty()) {
            return;
        }
        byte[] frame = encode(peers.get(0), message);
        if (frame != null) {
            peers.forEach(peer -> sendFrame(peer, frame));
        }
    }

    private void sendFrame(SocketAddress peer, byte[] frame) {
        if (frame.length <= MAX_DATAGRAM_BYTES) {
            sendDatagram(peer, frame);
        } else {
            enqueue(peer, frame);
        }
    }

    @Override
    public void sendOrdered(SocketAddress peer, Message message) {
        byte[] frame = encode(peer, message);
        if (frame != null) {
            enqueue(peer, frame);
        }
    }

    private byte[] encode(SocketAddress peer, Message message) {
        try {
            return codec.encode(local.port(), message);
        } catch (IllegalArgumentException e) {
            counters.dropped.increment();
            LOGGER.atSevere().withCause(e).log("encode for %s", peer);
            return null;
        }
    }

    private void sendDatagram(SocketAddress peer, byte[] frame) {
        try {
            if (datagrams.send(ByteBuffer.wrap(frame), resolve(peer)) > 0) {
                counters.datagramsSent.increment();
                return;
            }
        } catch (IOException | RuntimeException e) {
            LOGGER.atFine().withCause(e).log("datagram to %s", peer);
        }
        counters.dropped.increment();
    }

    private void enqueue(SocketAddress peer, byte[] frame) {
        OutgoingConnection connection =
                outgoing.computeIfAbsent(peer, address -> new OutgoingConnection(resolve(address), selector, counters));
        connection.enqueue(frame, nowMs());
        toService.add(connection);
        selector.wakeup();
    }

    private InetSocketAddress resolve(SocketAddress peer) {
        if (resolved.size() > MAX_CACHED_ADDRESSES) {
            resolved.clear();
        }
        return resolved.computeIfAbsent(peer, address -> new InetSocketAddress(address.host(), address.port()));
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(NetworkTransport::handleReady, sweepPeriodMs());
                serviceQueued();
                sweepIfDue();
            } catch (IOException | RuntimeException e) {
                if (!closed) {
                    LOGGER.atSevere().withCause(e).log("transport loop");
                }
            }
        }
        closeAll();
    }

    private static void handleReady(SelectionKey key) {
        ((ChannelHandler) key.attachment()).ready(nowMs());
    }

    private void serviceQueued() {
        double nowMs = nowMs();
        for (OutgoingConnection next = toService.poll(); next != null; next = toService.poll()) {
            next.service(nowMs);
        }
    }

    /** How long the thread may sleep: for ever if there is no connection. */
    private long sweepPeriodMs() {
        boolean any = !incoming.isEmpty();
        for (OutgoingConnection connection : outgoing.values()) {
            if (connection.waits()) {
                return BUSY_SWEEP_MS;
            }
            any |= connection.active();
        }
        return any ? QUIET_SWEEP_MS : 0;
    }

    private void sweepIfDue() {
        double nowMs = nowMs();
        if (nowMs - sweptAtMs < BUSY_SWEEP_MS) {
            return;
        }
        sweptAtMs = nowMs;
        outgoing.values().forEach(connection -> connection.sweep(nowMs));
        incoming.removeIf(connection -> closeIfIdle(connection, nowMs));
    }

    private static boolean closeIfIdle(IncomingConnection connection, double nowMs) {
        if (connection.open() && connection.idle(nowMs)) {
            connection.close();
        }
        return !connection.open();
    }

    private void receive(InetSocketAddress remote, byte[] bytes, int offset, int length) {
        try {
            MessageCodec.Frame frame = codec.decode(bytes, offset, length);
            receiver.accept(sender(remote, frame.senderPort()), frame.message());
        } catch (MalformedFrameException e) {
            counters.malformed.increment();
            LOGGER.atFine().withCause(e).log("frame from %s", remote);
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("receiver failed on a message from %s", remote);
        }
    }

    private SocketAddress sender(InetSocketAddress remote, int listeningPort) {
        SocketAddress known = senders.get(remote);
        if (known != null && known.port() == listeningPort) {
            return known;
        }
        if (senders.size() > MAX_CACHED_ADDRESSES) {
            senders.clear();
        }
        SocketAddress sender = new SocketAddress(remote.getAddress().getHostAddress(), listeningPort);
        senders.put(remote, sender);
        return sender;
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        if (!thread.isAlive()) {
            closeAll();
        }
    }

    private void closeAll() {
        outgoing.values().forEach(OutgoingConnection::close);
        incoming.forEach(IncomingConnection::close);
        try {
            server.close();
            datagrams.close();
            selector.close();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("close at %s", local);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_A_MILLISECOND;
    }

    /** Takes connections that peers dial. */
    private final class Acceptor implements ChannelHandler {
        @Override
        public void ready(double nowMs) {
            try {
                for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
                    channel.configureBlocking(false);
                    IncomingConnection connection =
                            new IncomingConnection(channel, NetworkTransport.this::receive, counters, nowMs);
                    channel.register(selector, SelectionKey.OP_READ, connection);
                    incoming.add(connection);
                }
            } catch (IOException e) {
                counters.failedConnections.increment();
            }
        }

        @Override
        public void close() {}
    }

    /** Takes datagrams, a bounded number at a time. */
    private final class DatagramReader implements ChannelHandler {
        @Override
        public void ready(double nowMs) {
            for (int i = 0; i < DATAGRAMS_A_TURN; i++) {
                receiveBuffer.clear();
                try {
                    InetSocketAddress remote = (InetSocketAddress) datagrams.receive(receiveBuffer);
                    if (remote == null) {
                        return;
                    }
                    counters.datagramsReceived.increment();
                    receive(remote, receiveBuffer.array(), 0, receiveBuffer.position());
                } catch (IOException e) {
                    return;
                }
            }
        }

        @Override
        public void close() {}
    }
}
