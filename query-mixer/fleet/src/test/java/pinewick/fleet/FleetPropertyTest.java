package pinewick.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What must hold of merges, datagrams, rumours and turns whatever comes. */
class FleetPropertyTest {
    record Said(MemberState standing, long incarnation) {}

    @Provide
    Arbitrary<List<Said>> news() {
        return Combinators.combine(
                        Arbitraries.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
                        Arbitraries.longs().between(1, 4))
                .as(Said::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    @Property(tries = 500, seed = "20261201")
    void newsInAnyOrderAndAnyNumberOfTimesGivesTheSameStanding(@ForAll("news") List<Said> news, @ForAll long seed) {
        List<Said> mixed = new ArrayList<>(news);
        mixed.addAll(news.subList(0, news.size() / 2));
        Collections.shuffle(mixed, new Random(seed));
        Member one = new Member(0);
        Member other = new Member(0);
        news.forEach(each -> one.takes(1, each.standing, each.incarnation));
        mixed.forEach(each -> other.takes(2, each.standing, each.incarnation));
        assertEquals(one.standing, other.standing);
        assertEquals(one.incarnation, other.incarnation);
    }

    private static final class Kept implements Datagram.Reader {
        final List<String> said = new ArrayList<>();

        @Override
        public void said(Datagram.Kind kind, int sender, long incarnation, int digest, int number, int about) {
            said.add(kind + " " + sender + " " + incarnation + " " + digest + " " + number + " " + about);
        }

        @Override
        public void sums(short[] sums) {
            said.add("sums " + Arrays.toString(sums));
        }

        @Override
        public void entry(int place, MemberState standing, long incarnation, int[] accusers, double silent) {
            said.add(place + " " + standing + " " + incarnation + " " + Arrays.toString(accusers)
                    + (standing == MemberState.SUSPECT ? " " + Math.round(silent * 20) : ""));
        }
    }

    @Property(tries = 500, seed = "20261201")
    void whatIsWrittenIsReadAndNeverLongerThanAllowed(
            @ForAll @IntRange(min = 0, max = 8191) int sender,
            @ForAll long incarnation,
            @ForAll int number,
            @ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        double now = 1.79e9 + chance.nextDouble();
        long bounded = Datagram.bounded(incarnation);
        Datagram out = new Datagram().begin(Datagram.Kind.PING, sender, bounded, 77, number, 5);
        List<String> expected = new ArrayList<>();
        expected.add("PING " + sender + " " + bounded + " 77 " + number + " 5");
        while (out.hasRoom()) {
            MemberState standing = MemberState.values()[1 + chance.nextInt(4)];
            int place = chance.nextInt(Datagram.PLACES);
            long at = chance.nextLong(1L << 47);
            int[] accusers = chance.ints(standing == MemberState.SUSPECT ? chance.nextInt(5) : 0, 0, 8192)
                    .toArray();
            double silent = now - 12 * chance.nextDouble();
            out.entry(place, standing, at, accusers, silent);
            expected.add(place + " " + standing + " " + at + " " + Arrays.toString(accusers)
                    + (standing == MemberState.SUSPECT ? " " + Math.round(silent * 20) : ""));
        }
        byte[] whole = out.end();
        assertTrue(whole.length <= 256, whole.length + " bytes");
        Kept kept = new Kept();
        assertNull(Datagram.read(now, whole, whole.length, Datagram.PLACES, kept));
        assertEquals(expected, kept.said);
    }

    @Property(tries = 500, seed = "20261201")
    void aDatagramThatWasChangedOrCutIsRefusedWholeAndNothingIsThrown(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Datagram out = new Datagram().begin(Datagram.Kind.NEWS, 3, 9, 1, 2, 4);
        for (int each = chance.nextInt(10); each > 0; each--) {
            out.entry(each, MemberState.SUSPECT, 5, new int[] {1, 2}, 100);
        }
        byte[] whole = out.end();
        byte[] odd = whole.clone();
        odd[chance.nextInt(odd.length)] ^= (byte) (1 << chance.nextInt(8));
        Kept kept = new Kept();
        assertTrue(Datagram.read(100, odd, odd.length, 10, kept) != null);
        assertTrue(Datagram.read(100, whole, chance.nextInt(whole.length), 10, kept) != null);
        assertTrue(kept.said.isEmpty(), "nothing of a spoilt datagram is told");
    }

    @Property(tries = 500, seed = "20261201")
    void noiseUnderARightSumIsRefusedOrReadButNeverThrown(@ForAll @Size(min = 1, max = 240) byte[] noise) {
        byte[] whole = Arrays.copyOf(noise, noise.length + 4);
        whole[0] = Datagram.VERSION;
        java.util.zip.CRC32 sum = new java.util.zip.CRC32();
        sum.update(whole, 0, noise.length);
        java.nio.ByteBuffer.wrap(whole).putInt(noise.length, (int) sum.getValue());
        MembershipView view = new MembershipView(
                4,
                0,
                1,
                MembershipSettings.usual(),
                new SplittableRandom(1),
                new MembershipView.Wire() {
                    @Override
                    public void send(int place, byte[] datagram) {
                        assertTrue(place > 0 && place < 4 && datagram.length <= 256);
                    }

                    @Override
                    public boolean sendAll(byte[] datagram) {
                        return true;
                    }
                },
                (place, was, is) -> {});
        view.start(100);
        view.heard(100.1, 2, whole, whole.length);
        view.tick(100.2);
    }

    @Test
    void aFullDatagramTakesNoMore() {
        Datagram out = new Datagram().begin(Datagram.Kind.NEWS, 0, 1, 0, 0, 0);
        while (out.hasRoom()) {
            out.entry(1, MemberState.SUSPECT, 1, new int[] {1, 2, 3, 4}, 1);
        }
        assertThrows(IllegalStateException.class, () -> out.entry(1, MemberState.ALIVE, 1, new int[0], 0));
        assertTrue(out.end().length <= 256);
    }

    @Property(tries = 200, seed = "20261201")
    void everyPieceOfNewsIsSentSoOftenAndTheLeastSentGoesFirst(
            @ForAll @IntRange(min = 1, max = 50) int size, @ForAll @IntRange(min = 1, max = 7) int room) {
        GossipQueue rumours = new GossipQueue(size);
        int[] sent = new int[size];
        for (int place = 0; place < size; place++) {
            rumours.add(place);
        }
        for (int turn = 0; rumours.any(); turn++) {
            assertTrue(turn <= 5 * size, "news goes out without end");
            int[] left = {room};
            rumours.offer(4, place -> {
                if (left[0] == 0) {
                    return false;
                }
                left[0]--;
                sent[place]++;
                return true;
            });
            int most = Arrays.stream(sent).max().orElse(0);
            assertTrue(Arrays.stream(sent).min().orElse(0) >= most - 1 - (room > size ? 1 : 0), Arrays.toString(sent));
        }
        assertTrue(Arrays.stream(sent).allMatch(each -> each == 4), Arrays.toString(sent));
    }

    @Property(tries = 200, seed = "20261201")
    void inATurnEachMemberThatTakesPartIsLookedAtByExactlyOne(
            @ForAll @IntRange(min = 2, max = 60) int size, @ForAll long turn, @ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Member[] members = new Member[size];
        for (int place = 0; place < size; place++) {
            members[place] = new Member(place);
            members[place].takes(0, place < 2 || chance.nextBoolean() ? MemberState.ALIVE : MemberState.DEAD, 1);
        }
        int[] looks = new int[size];
        for (Member each : members) {
            if (each.standing == MemberState.ALIVE) {
                int target = new ProbeSchedule(0.4).target(turn, each.place, members);
                assertTrue(target != each.place);
                looks[target]++;
            }
        }
        for (Member each : members) {
            assertEquals(each.standing == MemberState.ALIVE ? 1 : 0, looks[each.place]);
        }
    }

    @Property(tries = 200, seed = "20261201")
    void moreAccusersNeverLengthenAndAreNeverShorterThanTheLeastSilence(
            @ForAll @IntRange(min = 2, max = 1000) int members, @ForAll @IntRange(min = 1, max = 6) int accusers) {
        MembershipSettings terms = MembershipSettings.usual();
        Suspicion suspicion = new Suspicion(terms);
        double allowed = suspicion.allowed(accusers, members);
        assertTrue(allowed >= terms.silence() && allowed <= terms.silenceMost());
        assertTrue(suspicion.allowed(accusers + 1, members) <= allowed);
    }

    @Test
    void anIncarnationThatLeavesNoRoomToObjectIsRefused() {
        Datagram out = new Datagram().begin(Datagram.Kind.NEWS, 1, 5, 0, 0, 0);
        out.entry(2, MemberState.DEAD, (1L << 48) - 1, new int[0], 0);
        byte[] whole = out.end();
        Kept kept = new Kept();
        assertEquals("form", Datagram.read(100, whole, whole.length, 4, kept));
        assertTrue(kept.said.isEmpty());
    }
}
