package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Records of one instance. They use few call sequence numbers, so that two records often have the same one. */
class ReplicaRecordPropertyTest {
    @Provide
    Arbitrary<ReplicaRecord> records() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(ReplicaState.class),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.of(Stage.class),
                        Arbitraries.integers().between(1, 2))
                .as((callSequence, state, lapsed, warmUpMs, stage, modelVersion) -> new ReplicaRecord(
                        "i-1",
                        "s-1",
                        new SocketAddress("10.0.0.1", 8080),
                        "z-1",
                        "v1",
                        8,
                        state,
                        warmUpMs,
                        stage,
                        List.of(new ReplicaRecord.ModelVersion("m", modelVersion)),
                        callSequence,
                        lapsed));
    }

    @Property
    void mergeIsCommutative(@ForAll("records") ReplicaRecord left, @ForAll("records") ReplicaRecord right) {
        assertEquals(ReplicaRecord.merge(left, right), ReplicaRecord.merge(right, left));
    }

    @Property
    void mergeIsAssociative(
            @ForAll("records") ReplicaRecord first,
            @ForAll("records") ReplicaRecord second,
            @ForAll("records") ReplicaRecord third) {
        assertEquals(
                ReplicaRecord.merge(ReplicaRecord.merge(first, second), third),
                ReplicaRecord.merge(first, ReplicaRecord.merge(second, third)));
    }

    @Property
    void mergeIsIdempotent(@ForAll("records") ReplicaRecord record) {
        assertEquals(record, ReplicaRecord.merge(record, record));
    }

    @Property
    void mergeNeverRevertsToAnEarlierStateOrCall(
            @ForAll("records") ReplicaRecord left, @ForAll("records") ReplicaRecord right) {
        ReplicaRecord merged = ReplicaRecord.merge(left, right);

        assertFalse(merged.state().compareTo(left.state()) < 0 || merged.state().compareTo(right.state()) < 0);
        assertEquals(Math.max(left.callSequence(), right.callSequence()), merged.callSequence());
    }
}
