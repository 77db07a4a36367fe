package pinewick.fleet.state;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Scale;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Properties of replicated facts for any order, repetition, loss and corruption. */
class StatePropertyTest {
    @Provide
    Arbitrary<List<Fact>> facts() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.of(FactKind.values()),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.longs().between(1_000, 1_020),
                        Arbitraries.integers().between(1, 9))
                .as((key, kind, origin, stamp, figure) ->
                        // One origin reports a single value with one stamp.
                        new Fact(key << 28, kind, origin, stamp, Fact.decode(Fact.encode(origin * 7 + stamp)), 0))
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    private static FactStore store(List<Fact> facts) {
        FactStore store = new FactStore();
        facts.forEach(store::merge);
        return store;
    }

    @Property(tries = 500, seed = "20261201")
    void mergesGiveTheSameStoreInAnyOrderAndWithRepetition(@ForAll("facts") List<Fact> facts, @ForAll long seed) {
        List<Fact> mixed = new ArrayList<>(facts);
        mixed.addAll(facts.subList(0, facts.size() / 2));
        Collections.shuffle(mixed, new Random(seed));
        FactStore one = store(facts);
        FactStore other = store(mixed);
        assertEquals(one.all(-1), other.all(-1));
        assertEquals(one.digest(), other.digest());
        assertEquals(one.size(), one.all(-1).size());
    }

    @Property(tries = 500, seed = "20261201")
    void mergingStoresIsAssociative(
            @ForAll("facts") List<Fact> facts, @ForAll("facts") List<Fact> more, @ForAll("facts") List<Fact> most) {
        FactStore left = store(store(facts).all(-1));
        store(more).all(-1).forEach(left::merge);
        store(most).all(-1).forEach(left::merge);
        FactStore inner = store(store(more).all(-1));
        store(most).all(-1).forEach(inner::merge);
        FactStore right = store(inner.all(-1));
        store(facts).all(-1).forEach(right::merge);
        assertEquals(left.all(-1), right.all(-1));
        assertEquals(left.digest(), right.digest());
    }

    @Property(tries = 300, seed = "20261201")
    void checksumsDifferExactlyWhereFactsDiffer(@ForAll("facts") List<Fact> facts, @ForAll("facts") List<Fact> others) {
        FactStore one = store(facts);
        FactStore other = store(others);
        for (int range = 0; range < FactStore.RANGES; range++) {
            assertEquals(one.all(range).equals(other.all(range)), one.checksums()[range] == other.checksums()[range]);
        }
    }

    @Property(tries = 300, seed = "20261201")
    void oneWrongOriginMovesAMedianOfThreeNoFurtherThanAnHonestValue(
            @ForAll @DoubleRange(min = 0.01, max = 1) double honest,
            @ForAll @DoubleRange(min = 0.01, max = 1) double second,
            @ForAll @DoubleRange(min = 1e-6, max = 1e6) @Scale(6) double lie) {
        FactStore store = new FactStore();
        store.merge(new Fact(1, FactKind.LATENCY, 1, 100_000, honest, 0));
        store.merge(new Fact(1, FactKind.LATENCY, 2, 100_000, second, 0));
        store.merge(new Fact(1, FactKind.LATENCY, 3, 100_000, lie, 0));
        double pace = new FactAggregator(store).latencySeconds(1, 0, 100);
        assertTrue(pace >= Math.min(honest, second) && pace <= Math.max(honest, second), pace + " of " + lie);
    }

    @Property(tries = 300, seed = "20261201")
    void otherRoutersNeverImproveAnOwnFigure(@ForAll double own, @ForAll double others) {
        assertTrue(Double.isNaN(own) || FactAggregator.worseOf(own, others) >= own);
    }

    private static final class RecordingReader implements FactDatagram.Reader {
        final List<Fact> facts = new ArrayList<>();
        int[] sums;
        int[] named;
        int[] namedSums;
        boolean last;

        @Override
        public void onFact(Fact fact) {
            facts.add(fact);
        }

        @Override
        public void onChecksums(int[] given) {
            sums = given;
        }

        @Override
        public void onReplicas(int[] keys, int[] given) {
            named = keys;
            namedSums = given;
        }

        @Override
        public void onKeysRequested(int[] keys) {
            named = keys;
        }

        @Override
        public void onAnswerComplete() {
            last = true;
        }
    }

    @Property(tries = 300, seed = "20261201")
    void encodedDatagramsDecodeToTheSameContentsWithinTheSizeLimit(
            @ForAll("facts") List<Fact> facts, @ForAll boolean last) {
        List<Fact> some = facts.subList(0, Math.min(facts.size(), FactDatagram.MAX_FACTS));
        byte[] datagram = FactDatagram.facts(some, last);
        assertTrue(datagram.length <= 256);
        RecordingReader recorder = new RecordingReader();
        assertNull(FactDatagram.read(datagram, datagram.length, recorder));
        assertEquals(some, recorder.facts);
        assertEquals(last, recorder.last);
        byte[] sums = FactDatagram.checksums(store(facts).checksums());
        assertTrue(sums.length <= 256);
        assertNull(FactDatagram.read(sums, sums.length, recorder));
        assertTrue(Arrays.equals(store(facts).checksums(), recorder.sums));
        List<Integer> keys = java.util.stream.IntStream.range(0, FactDatagram.MAX_REPLICAS)
                .mapToObj(each -> each * 7919)
                .toList();
        List<Integer> keySums = keys.stream().map(each -> each * 31).toList();
        byte[] replicas = FactDatagram.replicas(keys, keySums);
        assertTrue(replicas.length <= 256);
        assertNull(FactDatagram.read(replicas, replicas.length, recorder));
        assertEquals(keys, Arrays.stream(recorder.named).boxed().toList());
        assertEquals(keySums.get(5), recorder.namedSums[5]);
        byte[] wanted = FactDatagram.keyRequest(keys);
        assertTrue(wanted.length <= 256);
        assertNull(FactDatagram.read(wanted, wanted.length, recorder));
    }

    @Property(tries = 300, seed = "20261201")
    void aCorruptedDatagramIsRejectedCompletely(@ForAll("facts") List<Fact> facts, @ForAll long seed) {
        byte[] datagram = FactDatagram.facts(facts.subList(0, Math.min(facts.size(), FactDatagram.MAX_FACTS)), false);
        Random random = new Random(seed);
        byte[] corrupted = datagram.clone();
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
        RecordingReader recorder = new RecordingReader();
        assertTrue(FactDatagram.read(corrupted, corrupted.length, recorder) != null);
        assertTrue(FactDatagram.read(datagram, random.nextInt(datagram.length), recorder) != null);
        assertTrue(recorder.facts.isEmpty() && recorder.sums == null && recorder.named == null && !recorder.last);
    }

    @Property(tries = 500, seed = "20261201")
    void randomBytesWithAValidChecksumCauseNoException(@ForAll @Size(min = 1, max = 240) byte[] noise) {
        byte[] datagram = Arrays.copyOf(noise, noise.length + 4);
        datagram[0] = FactDatagram.VERSION;
        java.util.zip.CRC32 sum = new java.util.zip.CRC32();
        sum.update(datagram, 0, noise.length);
        java.nio.ByteBuffer.wrap(datagram).putInt(noise.length, (int) sum.getValue());
        FactReplicator replicator = new FactReplicator(
                4,
                0,
                FactReplicationSettings.defaults(),
                new java.util.SplittableRandom(1),
                (index, sent) -> assertTrue(index > 0 && index < 4 && sent.length <= 256),
                index -> true);
        replicator.start(100);
        replicator.onDatagram(100.1, 2, datagram, datagram.length);
        replicator.tick(100.2);
    }

    @Property(tries = 300, seed = "20261201")
    void aFigureInTwoBytesHasARelativeErrorOfAtMostOneInTwoThousand(
            @ForAll @DoubleRange(min = 1e-6, max = 9e5) @Scale(6) double figure) {
        assertEquals(figure, Fact.decode(Fact.encode(figure)), figure / 2000);
    }

    @Property(tries = 100, seed = "20261201")
    void aWarningNeedsTwoOtherOrigins(@ForAll @IntRange(min = 0, max = 4) int origins) {
        FactStore store = new FactStore();
        for (int origin = 0; origin < origins; origin++) {
            store.merge(new Fact(1, FactKind.UNHEALTHY, origin, 100_000 + origin, 3, 0));
        }
        FactAggregator aggregator = new FactAggregator(store);
        assertEquals(origins >= 2, aggregator.isUnhealthy(1, 9, 100.5, 0));
        assertEquals(
                Math.min(origins, FactStore.MAX_ORIGINS) - (origins >= 1 && origins <= 3 ? 1 : 0) >= 2,
                aggregator.isUnhealthy(1, 0, 100.5, 0),
                "its own fact does not count");
        assertFalse(aggregator.isUnhealthy(1, 9, 110, 0), "an old warning has expired");
    }

    @Test
    void aSnapshotCorruptedAtAnyBitOrTruncatedAnywhereIsRejected() {
        List<Fact> facts = new ArrayList<>();
        for (int each = 0; each < 40; each++) {
            facts.add(new Fact(
                    each * 77_777,
                    FactKind.LATENCY,
                    each % 5,
                    100_000 + each,
                    Fact.decode(Fact.encode(0.1 + each)),
                    0));
        }
        byte[] datagram = FactSnapshotFormat.write(3, 9, 100, facts);
        assertEquals(facts, FactSnapshotFormat.read(datagram, 3, 9, 101, 60).facts());
        for (int at = 0; at < datagram.length; at++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] corrupted = datagram.clone();
                corrupted[at] ^= (byte) (1 << bit);
                FactSnapshotFormat.Result result = FactSnapshotFormat.read(corrupted, 3, 9, 101, 60);
                assertTrue(result.rejection() != null && result.facts().isEmpty(), "byte " + at + ", bit " + bit);
            }
            assertTrue(
                    FactSnapshotFormat.read(Arrays.copyOf(datagram, at), 3, 9, 101, 60)
                                    .rejection()
                            != null,
                    "cut at " + at);
        }
        byte[] longer = Arrays.copyOf(datagram, datagram.length + 1);
        assertTrue(FactSnapshotFormat.read(longer, 3, 9, 101, 60).rejection().startsWith("torn"));
        assertTrue(FactSnapshotFormat.read(datagram, 4, 9, 101, 60).rejection().startsWith("of another mixer"));
        assertTrue(FactSnapshotFormat.read(datagram, 3, 10, 101, 60).rejection().startsWith("of another mixer"));
        assertTrue(
                FactSnapshotFormat.read(datagram, 3, 9, 161.1, 60).rejection().startsWith("stale"));
        assertTrue(FactSnapshotFormat.read(datagram, 3, 9, 98, 60).rejection().startsWith("stale"), "of the future");
        assertTrue(FactSnapshotFormat.read("someone else's".getBytes(UTF_8), 3, 9, 101, 60)
                        .rejection()
                != null);
    }
}
