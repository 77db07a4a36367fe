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
 * Counts the messages of one process by type and direction. Their bytes are counted only while asked for, since that
 * means to encode each a second time.
 */
final class TrafficMeter {
    private static final int UDP_HEADERS = 28;
    private static final int TCP_HEADERS = 52;
    private static final int TCP_SEGMENT = 1_448;
    private static final int LENGTH_PREFIX = 4;

    /** Whether a message left or came, and from or to which kind of process. */
    enum Direction {
        TO_ROUTER,
        TO_CONTROLLER,
        FROM_ROUTER,
        FROM_CONTROLLER
    }

    private record Key(Direction way, String type) {}

    /** Messages, their bytes on the wire, and those of them that were too long for a datagram. */
    private static final class Count {
        private final LongAdder messages = new LongAdder();
        private final LongAdder bytes = new LongAdder();
        private final LongAdder overConnections = new LongAdder();
    }

    private final MessageCodec codec;
    private final Map<Key, Count> counts = new ConcurrentHashMap<>();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private volatile boolean countsBytes;

    /** @param codec used for nothing but measuring */
    TrafficMeter(MessageCodec codec) {
        this.codec = codec;
    }

    /** Starts anew, with or without bytes. */
    void restart(boolean withBytes) {
        countsBytes = withBytes;
        counts.clear();
        bytesOut.reset();
        bytesIn.reset();
    }

    void count(Direction way, Message message) {
        Count count = counts.computeIfAbsent(new Key(way, message.getClass().getSimpleName()), key -> new Count());
        count.messages.increment();
        if (countsBytes) {
            countBytes(way, message, count);
        }
    }

    private void countBytes(Direction way, Message message, Count count) {
        int frame = codec.encode(1, message).length;
        boolean datagram = frame <= NetworkTransport.MAX_DATAGRAM_BYTES;
        int wire = datagram ? frame + UDP_HEADERS : overTcp(frame);
        count.bytes.add(wire);
        if (!datagram) {
            count.overConnections.increment();
        }
        boolean out = way == Direction.TO_ROUTER || way == Direction.TO_CONTROLLER;
        (out ? bytesOut : bytesIn).add(wire);
    }

    /** With the headers of each segment; acknowledgements and the opening of connections are left out. */
    static int overTcp(int frame) {
        int bytes = frame + LENGTH_PREFIX;
        return bytes + TCP_HEADERS * ((bytes + TCP_SEGMENT - 1) / TCP_SEGMENT);
    }

    long bytesOut() {
        return bytesOut.sum();
    }

    long bytesIn() {
        return bytesIn.sum();
    }

    /** Adds this meter's counts to {@code sum}: for each way and type messages, bytes, and how many went over TCP. */
    void addTo(Map<String, long[]> sum) {
        counts.forEach((key, count) -> {
            long[] figures = sum.computeIfAbsent(key.way + " " + key.type, name -> new long[3]);
            figures[0] += count.messages.sum();
            figures[1] += count.bytes.sum();
            figures[2] += count.overConnections.sum();
        });
    }

    /** Sums as JSON. */
    static JsonObject toJson(Map<String, long[]> sums) {
        JsonObject json = new JsonObject();
        new TreeMap<>(sums).forEach((name, figures) -> {
            JsonArray list = new JsonArray();
            for (long figure : figures) {
                list.add(figure);
            }
            json.add(name, list);
        });
        return json;
    }
}
