package pinewick.transport;

import java.util.concurrent.atomic.LongAdder;

/** What a transport has sent, received and dropped since its start. */
public final class TransportCounters {
    final LongAdder datagramsSent = new LongAdder();
    final LongAdder datagramsReceived = new LongAdder();
    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder malformed = new LongAdder();
    final LongAdder dropped = new LongAdder();
    final LongAdder failedConnections = new LongAdder();

    /** Messages that left as datagrams. */
    public long datagramsSent() {
        return datagramsSent.sum();
    }

    /** Messages that came as datagrams. */
    public long datagramsReceived() {
        return datagramsReceived.sum();
    }

    /** Messages that left over connections. */
    public long framesSent() {
        return framesSent.sum();
    }

    /** Messages that came over connections. */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /** Frames that could not be read. */
    public long malformed() {
        return malformed.sum();
    }

    /** Messages given up before they left: full queues, full buffers, too late. */
    public long dropped() {
        return dropped.sum();
    }

    /** Connections that did not come up, broke or stuck. */
    public long failedConnections() {
        return failedConnections.sum();
    }
}
