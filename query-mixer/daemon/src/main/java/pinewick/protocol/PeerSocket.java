package pinewick.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;
import pinewick.loop.EventLoop;

/**
 * The datagram channel to the other routers, on the event loop. It maps addresses to peer indexes and does not
 * interpret datagrams. A datagram that the operating system does not accept at once is dropped.
 */
public final class PeerSocket {
    /** Receives datagrams. */
    public interface DatagramHandler {
        /** @param peerIndex of the router at the sender's address, -1 if the address is not in the list */
        void onDatagram(int peerIndex, byte[] datagram, int length);
    }

    /** Datagrams read per wake-up at most, so that a flood does not delay other events; the next wake-up continues. */
    private static final int MAX_DATAGRAMS_PER_WAKEUP = 64;

    private final MulticastMessageChannel channel;
    private final EventLoop loop;
    private final DatagramHandler handler;
    private final Map<SocketAddress, Integer> indexByAddress = new HashMap<>();
    private final byte[] bytes;
    private final ByteBuffer buffer;
    private final SocketAddressBuffer source = new SocketAddressBuffer();
    private List<InetSocketAddress> peers = List.of();
    private InetSocketAddress broadcastAddress;
    private long unsentCount;

    /**
     * @param maxBytes the longest datagram that is sent or read
     * @throws IOException if the listen address cannot be bound
     */
    public PeerSocket(
            InetSocketAddress listen, int maxBytes, XnioWorker worker, EventLoop loop, DatagramHandler handler)
            throws IOException {
        this.loop = loop;
        this.handler = handler;
        // One extra byte detects a datagram that exceeds the maximum; the operating system truncates the rest.
        bytes = new byte[maxBytes + 1];
        buffer = ByteBuffer.wrap(bytes);
        channel = worker.createUdpServer(listen, OptionMap.create(Options.MULTICAST, false));
        channel.getReadSetter().set(any -> loop.event("reading datagrams", this::read));
        channel.resumeReads();
    }

    /** Replaces the peer addresses; the position in the list is the peer index. The broadcast address may be null. */
    public void setPeers(List<InetSocketAddress> addresses, InetSocketAddress broadcast) {
        peers = addresses;
        broadcastAddress = broadcast;
        indexByAddress.clear();
        for (int peerIndex = 0; peerIndex < addresses.size(); peerIndex++) {
            indexByAddress.put(addresses.get(peerIndex), peerIndex);
        }
    }

    private void read() {
        try {
            for (int each = 0; each < MAX_DATAGRAMS_PER_WAKEUP; each++) {
                buffer.clear();
                source.clear();
                int length = channel.receiveFrom(source, buffer);
                if (length < 0) {
                    close();
                    return;
                }
                SocketAddress sender = source.getSourceAddress();
                if (sender == null) {
                    return;
                }
                int receivedBytes = length;
                loop.guarded(
                        "taking a datagram",
                        () -> handler.onDatagram(indexByAddress.getOrDefault(sender, -1), bytes, receivedBytes));
            }
        } catch (IOException icmpError) {
            // An ICMP error for an earlier datagram (nobody listens there); the channel stays usable.
            unsentCount++;
        }
    }

    public void send(int peerIndex, byte[] datagram) {
        if (peerIndex < peers.size()) {
            send(peers.get(peerIndex), datagram);
        }
    }

    /** Sends to every router; false if there is no broadcast address. */
    public boolean sendAll(byte[] datagram) {
        if (broadcastAddress != null) {
            send(broadcastAddress, datagram);
        }
        return broadcastAddress != null;
    }

    private void send(SocketAddress to, byte[] datagram) {
        try {
            if (!channel.sendTo(to, ByteBuffer.wrap(datagram))) {
                unsentCount++;
            }
        } catch (IOException icmpError) {
            unsentCount++; // Nobody listens there or there is no route: to the sender the same as a lost datagram.
        }
    }

    /** Number of datagrams that the operating system did not accept. */
    public long unsentCount() {
        return unsentCount;
    }

    public void close() {
        IoUtils.safeClose(channel);
    }
}
