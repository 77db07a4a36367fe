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

/** What must hold of replicated facts in any order, however often they come and whatever is lost or spoilt. */
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
                        // One origin says one thing with one stamp.
                        new Fact(key << 28, kind, origin, stamp, Fact.decoded(Fact.coded(origin * 7 + stamp)), 0))
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
    void anyOrderAndAnyRepetitionGivesTheSameCopies(@ForAll("facts") List<Fact> facts, @ForAll long seed) {
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
    void mergingCopiesIsTheSameHoweverTheyAreGrouped(
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
    void sumsDifferWhereCopiesDo(@ForAll("facts") List<Fact> facts, @ForAll("facts") List<Fact> others) {
        FactStore one = store(facts);
        FactStore other = store(others);
        for (int stretch = 0; stretch < FactStore.STRETCHES; stretch++) {
            assertEquals(one.all(stretch).equals(other.all(stretch)), one.sums()[stretch] == other.sums()[stretch]);
        }
    }

    @Property(tries = 300, seed = "20261201")
    void oneLiarMovesAMedianOfThreeNoFurtherThanToAnHonestWord(
            @ForAll @DoubleRange(min = 0.01, max = 1) double honest,
            @ForAll @DoubleRange(min = 0.01, max = 1) double second,
            @ForAll @DoubleRange(min = 1e-6, max = 1e6) @Scale(6) double lie) {
        FactStore store = new FactStore();
        store.merge(new Fact(1, FactKind.PACE, 1, 100_000, honest, 0));
        store.merge(new Fact(1, FactKind.PACE, 2, 100_000, second, 0));
        store.merge(new Fact(1, FactKind.PACE, 3, 100_000, lie, 0));
        double pace = new FactAggregator(store).pace(1, 0, 100);
        assertTrue(pace >= Math.min(honest, second) && pace <= Math.max(honest, second), pace + " of " + lie);
    }

    @Property(tries = 300, seed = "20261201")
    void othersNeverMakeAMixerLessCarefulThanItsOwnEyes(@ForAll double own, @ForAll double others) {
        assertTrue(Double.isNaN(own) || FactAggregator.worse(own, others) >= own);
    }

    private static final class Kept implements FactDatagram.Reader {
        final List<Fact> facts = new ArrayList<>();
        int[] sums;
        int[] named;
        int[] namedSums;
        boolean last;

        @Override
        public void fact(Fact fact) {
            facts.add(fact);
        }

        @Override
        public void sums(int[] given) {
            sums = given;
        }

        @Override
        public void searchers(int[] keys, int[] given) {
            named = keys;
            namedSums = given;
        }

        @Override
        public void wanted(int[] keys) {
            named = keys;
        }

        @Override
        public void last() {
            last = true;
        }
    }

    @Property(tries = 300, seed = "20261201")
    void whatIsWrittenIsReadAndNeverLongerThanAllowed(@ForAll("facts") List<Fact> facts, @ForAll boolean last) {
        List<Fact> some = facts.subList(0, Math.min(facts.size(), FactDatagram.FACTS));
        byte[] whole = FactDatagram.facts(some, last);
        assertTrue(whole.length <= 256);
        Kept kept = new Kept();
        assertNull(FactDatagram.read(whole, whole.length, kept));
        assertEquals(some, kept.facts);
        assertEquals(last, kept.last);
        byte[] sums = FactDatagram.sums(store(facts).sums());
        assertTrue(sums.length <= 256);
        assertNull(FactDatagram.read(sums, sums.length, kept));
        assertTrue(Arrays.equals(store(facts).sums(), kept.sums));
        List<Integer> keys = java.util.stream.IntStream.range(0, FactDatagram.SEARCHERS)
                .mapToObj(each -> each * 7919)
                .toList();
        List<Integer> keySums = keys.stream().map(each -> each * 31).toList();
        byte[] searchers = FactDatagram.searchers(keys, keySums);
        assertTrue(searchers.length <= 256);
        assertNull(FactDatagram.read(searchers, searchers.length, kept));
        assertEquals(keys, Arrays.stream(kept.named).boxed().toList());
        assertEquals(keySums.get(5), kept.namedSums[5]);
        byte[] wanted = FactDatagram.wanted(keys);
        assertTrue(wanted.length <= 256);
        assertNull(FactDatagram.read(wanted, wanted.length, kept));
    }

    @Property(tries = 300, seed = "20261201")
    void aSpoiltDatagramTellsNothing(@ForAll("facts") List<Fact> facts, @ForAll long seed) {
        byte[] whole = FactDatagram.facts(facts.subList(0, Math.min(facts.size(), FactDatagram.FACTS)), false);
        Random chance = new Random(seed);
        byte[] odd = whole.clone();
        odd[chance.nextInt(odd.length)] ^= (byte) (1 << chance.nextInt(8));
        Kept kept = new Kept();
        assertTrue(FactDatagram.read(odd, odd.length, kept) != null);
        assertTrue(FactDatagram.read(whole, chance.nextInt(whole.length), kept) != null);
        assertTrue(kept.facts.isEmpty() && kept.sums == null && kept.named == null && !kept.last);
    }

    @Property(tries = 500, seed = "20261201")
    void noiseUnderARightSumIsNeverThrownIntoTheLoop(@ForAll @Size(min = 1, max = 240) byte[] noise) {
        byte[] whole = Arrays.copyOf(noise, noise.length + 4);
        whole[0] = FactDatagram.VERSION;
        java.util.zip.CRC32 sum = new java.util.zip.CRC32();
        sum.update(whole, 0, noise.length);
        java.nio.ByteBuffer.wrap(whole).putInt(noise.length, (int) sum.getValue());
        FactReplicator state = new FactReplicator(
                4,
                0,
                FactReplicationSettings.usual(),
                new java.util.SplittableRandom(1),
                (place, datagram) -> assertTrue(place > 0 && place < 4 && datagram.length <= 256),
                place -> true);
        state.start(100);
        state.heard(100.1, 2, whole, whole.length);
        state.tick(100.2);
    }

    @Property(tries = 300, seed = "20261201")
    void aFigureInTwoBytesIsWithinAPartInTwoThousand(
            @ForAll @DoubleRange(min = 1e-6, max = 9e5) @Scale(6) double figure) {
        assertEquals(figure, Fact.decoded(Fact.coded(figure)), figure / 2000);
    }

    @Property(tries = 100, seed = "20261201")
    void aWarningNeedsTwoOthers(@ForAll @IntRange(min = 0, max = 4) int origins) {
        FactStore store = new FactStore();
        for (int origin = 0; origin < origins; origin++) {
            store.merge(new Fact(1, FactKind.ILL, origin, 100_000 + origin, 3, 0));
        }
        FactAggregator agreed = new FactAggregator(store);
        assertEquals(origins >= 2, agreed.ill(1, 9, 100.5, 0));
        assertEquals(
                Math.min(origins, FactStore.ORIGINS) - (origins >= 1 && origins <= 3 ? 1 : 0) >= 2,
                agreed.ill(1, 0, 100.5, 0),
                "its own word is none of the others'");
        assertFalse(agreed.ill(1, 9, 110, 0), "an old warning is none");
    }

    @Test
    void aSnapshotSpoiltAtAnyByteOrTornAnywhereIsRefused() {
        List<Fact> facts = new ArrayList<>();
        for (int each = 0; each < 40; each++) {
            facts.add(new Fact(
                    each * 77_777, FactKind.PACE, each % 5, 100_000 + each, Fact.decoded(Fact.coded(0.1 + each)), 0));
        }
        byte[] whole = FactSnapshotFormat.write(3, 9, 100, facts);
        assertEquals(facts, FactSnapshotFormat.read(whole, 3, 9, 101, 60).facts());
        for (int at = 0; at < whole.length; at++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] odd = whole.clone();
                odd[at] ^= (byte) (1 << bit);
                FactSnapshotFormat.Read read = FactSnapshotFormat.read(odd, 3, 9, 101, 60);
                assertTrue(read.refused() != null && read.facts().isEmpty(), "byte " + at + ", bit " + bit);
            }
            assertTrue(
                    FactSnapshotFormat.read(Arrays.copyOf(whole, at), 3, 9, 101, 60)
                                    .refused()
                            != null,
                    "cut at " + at);
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        assertTrue(FactSnapshotFormat.read(longer, 3, 9, 101, 60).refused().startsWith("torn"));
        assertTrue(FactSnapshotFormat.read(whole, 4, 9, 101, 60).refused().startsWith("of another mixer"));
        assertTrue(FactSnapshotFormat.read(whole, 3, 10, 101, 60).refused().startsWith("of another mixer"));
        assertTrue(FactSnapshotFormat.read(whole, 3, 9, 161.1, 60).refused().startsWith("stale"));
        assertTrue(FactSnapshotFormat.read(whole, 3, 9, 98, 60).refused().startsWith("stale"), "of the future");
        assertTrue(FactSnapshotFormat.read("someone else's".getBytes(UTF_8), 3, 9, 101, 60)
                        .refused()
                != null);
    }
}
