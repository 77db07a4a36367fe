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
 * The one datagram channel to the other mixers, on the loop. It knows addresses and places and nothing of what
 * datagrams say. A datagram that the system does not take at once is lost, as datagrams may be.
 */
public final class PeerSocket {
    /** Is handed what came. */
    public interface DatagramHandler {
        /** @param place of the mixer at the sender's address, -1 where it is in no list */
        void onDatagram(int place, byte[] datagram, int length);
    }

    /** One wake-up takes so many datagrams at most, so that a flood does not hold up the rest; the next one goes on. */
    private static final int AT_ONCE = 64;

    private final MulticastMessageChannel channel;
    private final EventLoop loop;
    private final DatagramHandler handler;
    private final Map<SocketAddress, Integer> places = new HashMap<>();
    private final byte[] bytes;
    private final ByteBuffer buffer;
    private final SocketAddressBuffer source = new SocketAddressBuffer();
    private List<InetSocketAddress> peers = List.of();
    private InetSocketAddress all;
    private long unsent;

    /**
     * @param most the longest datagram that is sent or read, bytes
     * @throws IOException where it can't listen there
     */
    public PeerSocket(InetSocketAddress listen, int most, XnioWorker worker, EventLoop loop, DatagramHandler handler)
            throws IOException {
        this.loop = loop;
        this.handler = handler;
        // One byte more shows a datagram that is longer than any may be; the rest of it is cut off by the system.
        bytes = new byte[most + 1];
        buffer = ByteBuffer.wrap(bytes);
        channel = worker.createUdpServer(listen, OptionMap.create(Options.MULTICAST, false));
        channel.getReadSetter().set(any -> loop.event("reading datagrams", this::read));
        channel.resumeReads();
    }

    /** Who is where from now on. */
    public void setPeers(List<InetSocketAddress> addresses, InetSocketAddress toAll) {
        peers = addresses;
        all = toAll;
        places.clear();
        for (int place = 0; place < addresses.size(); place++) {
            places.put(addresses.get(place), place);
        }
    }

    private void read() {
        try {
            for (int each = 0; each < AT_ONCE; each++) {
                buffer.clear();
                source.clear();
                int length = channel.receiveFrom(source, buffer);
                if (length < 0) {
                    close();
                    return;
                }
                SocketAddress from = source.getSourceAddress();
                if (from == null) {
                    return;
                }
                int taken = length;
                loop.guarded(
                        "taking a datagram", () -> handler.onDatagram(places.getOrDefault(from, -1), bytes, taken));
            }
        } catch (IOException odd) {
            // An answer of the system to an earlier datagram (nobody listens there); the channel stays good.
            unsent++;
        }
    }

    public void send(int place, byte[] datagram) {
        if (place < peers.size()) {
            send(peers.get(place), datagram);
        }
    }

    /** To every mixer; false where there is no address for all. */
    public boolean sendAll(byte[] datagram) {
        if (all != null) {
            send(all, datagram);
        }
        return all != null;
    }

    private void send(SocketAddress to, byte[] datagram) {
        try {
            if (!channel.sendTo(to, ByteBuffer.wrap(datagram))) {
                unsent++;
            }
        } catch (IOException odd) {
            unsent++; // Nobody listens there, or the way is down: the same to the sender as a lost datagram.
        }
    }

    /** Datagrams that the system did not take. */
    public long unsentCount() {
        return unsent;
    }

    public void close() {
        IoUtils.safeClose(channel);
    }
}
