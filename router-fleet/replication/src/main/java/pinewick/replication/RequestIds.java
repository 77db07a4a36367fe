package pinewick.replication;

import java.util.random.RandomGenerator;

/** Numbers the requests of one incarnation of a process. Control loop only. */
final class RequestIds {
    private final long incarnation;
    private long sequence;

    RequestIds(RandomGenerator random) {
        incarnation = random.nextLong();
    }

    RequestId next() {
        sequence++;
        return new RequestId(incarnation, sequence);
    }

    /**
     * Whether this is the id of a request that this incarnation sent after the request with the sequence number given.
     */
    boolean isSentAfter(RequestId request, long earlierSequence) {
        return request.incarnation() == incarnation
                && request.sequence() > earlierSequence
                && request.sequence() <= sequence;
    }

    /** Sequence number of the newest request, 0 if there was none. */
    long newest() {
        return sequence;
    }
}
