package pinewick.lab.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import pinewick.model.Message;
import pinewick.transport.MessageCodec;
import pinewick.transport.NetworkTransport;

/**
 * Counts the messages of one process by type and direction. Bytes are counted only on request, because that
 * requires encoding each message a second time.
 */
final class TrafficMeter {
    private static final int UDP_HEADERS = 28;
    private static final int TCP_HEADERS = 52;
    private static final int TCP_SEGMENT = 1_448;
    private static final int LENGTH_PREFIX = 4;

    /** Whether a message was sent or received, and the role of the peer. */
    enum Direction {
        TO_ROUTER,
        TO_CONTROLLER,
        FROM_ROUTER,
        FROM_CONTROLLER
    }

    private record Key(Direction direction, String type) {}

    /** Number of messages, their bytes on the wire, and the number too long for a datagram. */
    private static final class Count {
        private final LongAdder messages = new LongAdder();
        private final LongAdder bytes = new LongAdder();
        private final LongAdder tcpMessages = new LongAdder();
    }

    private final MessageCodec codec;
    private final Map<Key, Count> counts = new ConcurrentHashMap<>();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private volatile boolean countsBytes;

    /** @param codec used only to measure message sizes */
    TrafficMeter(MessageCodec codec) {
        this.codec = codec;
    }

    /** Resets all counts; from now on bytes are counted if {@code withBytes} is true. */
    void reset(boolean withBytes) {
        countsBytes = withBytes;
        counts.clear();
        bytesOut.reset();
        bytesIn.reset();
    }

    void count(Direction direction, Message message) {
        Count count =
                counts.computeIfAbsent(new Key(direction, message.getClass().getSimpleName()), key -> new Count());
        count.messages.increment();
        if (countsBytes) {
            countBytes(direction, message, count);
        }
    }

    private void countBytes(Direction direction, Message message, Count count) {
        int frameBytes = codec.encode(1, message).length;
        boolean datagram = frameBytes <= NetworkTransport.MAX_DATAGRAM_BYTES;
        int wireBytes = datagram ? frameBytes + UDP_HEADERS : tcpBytes(frameBytes);
        count.bytes.add(wireBytes);
        if (!datagram) {
            count.tcpMessages.increment();
        }
        boolean outbound = direction == Direction.TO_ROUTER || direction == Direction.TO_CONTROLLER;
        (outbound ? bytesOut : bytesIn).add(wireBytes);
    }

    /** Bytes of a frame sent over TCP, with the headers of each segment but without ACKs and connection setup. */
    static int tcpBytes(int frameBytes) {
        int bytes = frameBytes + LENGTH_PREFIX;
        return bytes + TCP_HEADERS * ((bytes + TCP_SEGMENT - 1) / TCP_SEGMENT);
    }

    long bytesOut() {
        return bytesOut.sum();
    }

    long bytesIn() {
        return bytesIn.sum();
    }

    /** Adds this meter's counts to {@code sum}: by direction and type, the messages, bytes and TCP messages. */
    void addTo(Map<String, long[]> sum) {
        counts.forEach((key, count) -> {
            long[] totals = sum.computeIfAbsent(key.direction + " " + key.type, name -> new long[3]);
            totals[0] += count.messages.sum();
            totals[1] += count.bytes.sum();
            totals[2] += count.tcpMessages.sum();
        });
    }

    /** The sums as JSON. */
    static JsonObject toJson(Map<String, long[]> sums) {
        JsonObject json = new JsonObject();
        new TreeMap<>(sums).forEach((name, totals) -> {
            JsonArray list = new JsonArray();
            for (long total : totals) {
                list.add(total);
            }
            json.add(name, list);
        });
        return json;
    }
}
