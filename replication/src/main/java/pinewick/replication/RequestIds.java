package pinewick.replication;

import java.util.random.RandomGenerator;

/** Numbers the questions of one life of a process. */
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

    /** Whether this is a question of this life, asked after the one that is given. */
    boolean isSentAfter(RequestId request, long earlierSequence) {
        return request.incarnation() == incarnation
                && request.sequence() > earlierSequence
                && request.sequence() <= sequence;
    }

    /** The sequence number of the newest question. */
    long newest() {
        return sequence;
    }
}
