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
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Sends messages over UDP if they fit a datagram, and otherwise over a TCP connection to the peer, which is kept open.
 * The selector thread accepts, reads and writes connections and calls the receiver; datagrams are sent on the caller's
 * thread. A peer that does not read blocks only its own bounded queue.
 */
public final class NetworkTransport implements Transport {
    /** Maximum length in bytes of a frame that is sent as a datagram. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int MAX_DATAGRAMS_PER_SELECT = 64;
    private static final int MAX_CACHED_ADDRESSES = 4_096;
    private static final int BACKLOG = 256;
    private static final long BUSY_CHECK_INTERVAL_MS = 100;
    private static final long IDLE_CHECK_INTERVAL_MS = 5_000;
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final MessageCodec codec;
    private final TransportCounters counters = new TransportCounters();
    private final Selector selector;
    private final ServerSocketChannel serverChannel;
    private final DatagramChannel datagramChannel;
    private final SocketAddress local;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(RECEIVE_BUFFER_BYTES);
    private final Map<SocketAddress, OutgoingConnection> outgoing = new ConcurrentHashMap<>();
    private final Map<SocketAddress, InetSocketAddress> resolvedAddresses = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, SocketAddress> senderAddresses = new HashMap<>();
    private final Queue<OutgoingConnection> pendingConnections = new ConcurrentLinkedQueue<>();
    private final List<IncomingConnection> incoming = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "transport");
    private BiConsumer<SocketAddress, Message> receiver;
    private double lastCheckMs = nowMs();
    private volatile boolean closed;

    /**
     * Binds both sockets.
     *
     * @param local the address to listen at; port 0 selects a TCP port that is free, and binds UDP to the same port
     * @throws TransportException if the address cannot be used
     */
    public NetworkTransport(SocketAddress local, MessageCodec codec) throws TransportException {
        this.codec = codec;
        try {
            selector = Selector.open();
            serverChannel = ServerSocketChannel.open();
            serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            serverChannel.bind(new InetSocketAddress(local.host(), local.port()), BACKLOG);
            int port = ((InetSocketAddress) serverChannel.getLocalAddress()).getPort();
            this.local = new SocketAddress(local.host(), port);
            datagramChannel = DatagramChannel.open();
            datagramChannel.bind(new InetSocketAddress(local.host(), port));
            serverChannel.configureBlocking(false);
            datagramChannel.configureBlocking(false);
            serverChannel.register(selector, SelectionKey.OP_ACCEPT, new Acceptor());
            datagramChannel.register(selector, SelectionKey.OP_READ, new DatagramReader());
        } catch (IOException | RuntimeException e) {
            // An unresolved or unsupported address causes a runtime exception.
            throw new TransportException("bind", local, e);
        }
        thread.setDaemon(true);
    }

    /** Counts of the messages sent, received and dropped. */
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
        encode(peer, message).ifPresent(frame -> sendFrame(peer, frame));
    }

    /** Sends one message to several peers; it is encoded once. */
    public void sendToAll(List<SocketAddress> peers, Message message) {
        if (peers.isEmpty()) {
            return;
        }
        encode(peers.get(0), message).ifPresent(frame -> peers.forEach(peer -> sendFrame(peer, frame)));
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
        encode(peer, message).ifPresent(frame -> enqueue(peer, frame));
    }

    /**
     * Encodes a message. Returns empty if that fails, which is a programming error; only this message is dropped.
     */
    private Optional<byte[]> encode(SocketAddress peer, Message message) {
        try {
            return Optional.of(codec.encode(local.port(), message));
        } catch (IllegalArgumentException e) {
            counters.dropped.increment();
            LOGGER.atSevere().withCause(e).log("message to %s dropped: it cannot be encoded", peer);
            return Optional.empty();
        }
    }

    private void sendDatagram(SocketAddress peer, byte[] frame) {
        try {
            if (datagramChannel.send(ByteBuffer.wrap(frame), resolve(peer)) > 0) {
                counters.datagramsSent.increment();
                return;
            }
        } catch (IOException | RuntimeException e) {
            // An unresolved address causes a runtime exception; datagrams are best effort.
            LOGGER.atFine().withCause(e).log("datagram to %s dropped", peer);
        }
        counters.dropped.increment();
    }

    private void enqueue(SocketAddress peer, byte[] frame) {
        OutgoingConnection connection =
                outgoing.computeIfAbsent(peer, address -> new OutgoingConnection(resolve(address), selector, counters));
        connection.enqueue(frame, nowMs());
        pendingConnections.add(connection);
        selector.wakeup();
    }

    private InetSocketAddress resolve(SocketAddress peer) {
        if (resolvedAddresses.size() > MAX_CACHED_ADDRESSES) {
            resolvedAddresses.clear();
        }
        return resolvedAddresses.computeIfAbsent(
                peer, address -> new InetSocketAddress(address.host(), address.port()));
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(NetworkTransport::handleReady, checkIntervalMs());
                processPendingConnections();
                checkConnectionsIfDue();
            } catch (IOException | RuntimeException e) {
                // Boundary of the transport thread: it must outlive any failure of one connection.
                if (!closed) {
                    LOGGER.atSevere().withCause(e).log("transport loop failed, continuing");
                }
            }
        }
        closeAll();
    }

    private static void handleReady(SelectionKey key) {
        ((ChannelHandler) key.attachment()).onReady(nowMs());
    }

    private void processPendingConnections() {
        double nowMs = nowMs();
        for (OutgoingConnection next = pendingConnections.poll(); next != null; next = pendingConnections.poll()) {
            next.connectOrWrite(nowMs);
        }
    }

    /** Maximum time in milliseconds for which the thread sleeps; 0, meaning no limit, if there is no connection. */
    private long checkIntervalMs() {
        boolean hasConnections = !incoming.isEmpty();
        for (OutgoingConnection connection : outgoing.values()) {
            if (connection.hasPendingWork()) {
                return BUSY_CHECK_INTERVAL_MS;
            }
            hasConnections |= connection.isActive();
        }
        return hasConnections ? IDLE_CHECK_INTERVAL_MS : 0;
    }

    private void checkConnectionsIfDue() {
        double nowMs = nowMs();
        if (nowMs - lastCheckMs < BUSY_CHECK_INTERVAL_MS) {
            return;
        }
        lastCheckMs = nowMs;
        outgoing.values().forEach(connection -> connection.checkDeadlines(nowMs));
        incoming.removeIf(connection -> closeIfIdle(connection, nowMs));
    }

    private static boolean closeIfIdle(IncomingConnection connection, double nowMs) {
        if (connection.isOpen() && connection.isIdle(nowMs)) {
            connection.close();
        }
        return !connection.isOpen();
    }

    private void receive(InetSocketAddress remote, byte[] bytes, int offset, int length) {
        try {
            MessageCodec.Frame frame = codec.decode(bytes, offset, length);
            receiver.accept(sender(remote, frame.senderPort()), frame.message());
        } catch (MalformedFrameException e) {
            counters.malformed.increment();
            LOGGER.atFine().withCause(e).log("frame from %s ignored: malformed", remote);
        } catch (RuntimeException e) {
            // Boundary to the receiver: a message that cannot be handled must not end the transport thread.
            LOGGER.atSevere().withCause(e).log("handling a message from %s failed", remote);
        }
    }

    private SocketAddress sender(InetSocketAddress remote, int listeningPort) {
        SocketAddress cachedAddress = senderAddresses.get(remote);
        if (cachedAddress != null && cachedAddress.port() == listeningPort) {
            return cachedAddress;
        }
        if (senderAddresses.size() > MAX_CACHED_ADDRESSES) {
            senderAddresses.clear();
        }
        SocketAddress sender = new SocketAddress(remote.getAddress().getHostAddress(), listeningPort);
        senderAddresses.put(remote, sender);
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
            serverChannel.close();
            datagramChannel.close();
            selector.close();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("closing the transport at %s failed", local);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    /** Accepts connections from peers. */
    private final class Acceptor implements ChannelHandler {
        @Override
        public void onReady(double nowMs) {
            try {
                for (SocketChannel channel = serverChannel.accept();
                        channel != null;
                        channel = serverChannel.accept()) {
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

    /** Receives datagrams, at most {@link #MAX_DATAGRAMS_PER_SELECT} at a time. */
    private final class DatagramReader implements ChannelHandler {
        @Override
        public void onReady(double nowMs) {
            for (int i = 0; i < MAX_DATAGRAMS_PER_SELECT; i++) {
                receiveBuffer.clear();
                try {
                    InetSocketAddress remote = (InetSocketAddress) datagramChannel.receive(receiveBuffer);
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
