package pinewick.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts of the messages that a transport has sent, received and dropped since its start. Thread-safe. */
public final class TransportCounters {
    final LongAdder datagramsSent = new LongAdder();
    final LongAdder datagramsReceived = new LongAdder();
    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder malformed = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder failedConnections = new LongAdder();

    /** Messages sent as datagrams. */
    public long datagramsSent() {
        return datagramsSent.sum();
    }

    /** Messages received as datagrams. */
    public long datagramsReceived() {
        return datagramsReceived.sum();
    }

    /** Messages sent over connections. */
    public long framesSent() {
        return framesSent.sum();
    }

    /** Messages received over connections. */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /** Received frames that could not be decoded. */
    public long malformed() {
        return malformed.sum();
    }

    /** Messages dropped before they were sent: queue full, send buffer full, or queued for too long. */
    public long dropped() {
        return dropped.sum();
    }

    /** Connections that could not be opened, broke or timed out. */
    public long failedConnections() {
        return failedConnections.sum();
    }
}
