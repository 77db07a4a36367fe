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

/** Properties of merges, datagrams, the gossip queue and the probe schedule for random input. */
class FleetPropertyTest {
    record Update(MemberState state, long incarnation) {}

    @Provide
    Arbitrary<List<Update>> news() {
        return Combinators.combine(
                        Arbitraries.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT),
                        Arbitraries.longs().between(1, 4))
                .as(Update::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    @Property(tries = 500, seed = "20261201")
    void mergesGiveTheSameStateInAnyOrderAndWithRepetition(@ForAll("news") List<Update> news, @ForAll long seed) {
        List<Update> mixed = new ArrayList<>(news);
        mixed.addAll(news.subList(0, news.size() / 2));
        Collections.shuffle(mixed, new Random(seed));
        Member one = new Member(0);
        Member other = new Member(0);
        news.forEach(each -> one.merge(1, each.state, each.incarnation));
        mixed.forEach(each -> other.merge(2, each.state, each.incarnation));
        assertEquals(one.state, other.state);
        assertEquals(one.incarnation, other.incarnation);
    }

    private static final class RecordingReader implements Datagram.Reader {
        final List<String> events = new ArrayList<>();

        @Override
        public void onHeader(Datagram.Kind kind, int sender, long incarnation, int digest, int number, int about) {
            events.add(kind + " " + sender + " " + incarnation + " " + digest + " " + number + " " + about);
        }

        @Override
        public void onChecksums(short[] sums) {
            events.add("sums " + Arrays.toString(sums));
        }

        @Override
        public void onEntry(int index, MemberState state, long incarnation, int[] accusers, double silentSince) {
            events.add(index + " " + state + " " + incarnation + " " + Arrays.toString(accusers)
                    + (state == MemberState.SUSPECT ? " " + Math.round(silentSince * 20) : ""));
        }
    }

    @Property(tries = 500, seed = "20261201")
    void encodedDatagramsDecodeToTheSameEntriesWithinTheSizeLimit(
            @ForAll @IntRange(min = 0, max = 8191) int sender,
            @ForAll long incarnation,
            @ForAll int number,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double now = 1.79e9 + random.nextDouble();
        long truncateIncarnation = Datagram.truncateIncarnation(incarnation);
        Datagram out = new Datagram().begin(Datagram.Kind.PING, sender, truncateIncarnation, 77, number, 5);
        List<String> expected = new ArrayList<>();
        expected.add("PING " + sender + " " + truncateIncarnation + " 77 " + number + " 5");
        while (out.hasRoom()) {
            MemberState state = MemberState.values()[1 + random.nextInt(4)];
            int index = random.nextInt(Datagram.MAX_MEMBERS);
            long at = random.nextLong(1L << 47);
            int[] accusers = random.ints(state == MemberState.SUSPECT ? random.nextInt(5) : 0, 0, 8192)
                    .toArray();
            double silentSince = now - 12 * random.nextDouble();
            out.addEntry(index, state, at, accusers, silentSince);
            expected.add(index + " " + state + " " + at + " " + Arrays.toString(accusers)
                    + (state == MemberState.SUSPECT ? " " + Math.round(silentSince * 20) : ""));
        }
        byte[] datagram = out.finish();
        assertTrue(datagram.length <= 256, datagram.length + " bytes");
        RecordingReader recorder = new RecordingReader();
        assertNull(Datagram.read(now, datagram, datagram.length, Datagram.MAX_MEMBERS, recorder));
        assertEquals(expected, recorder.events);
    }

    @Property(tries = 500, seed = "20261201")
    void aCorruptedOrTruncatedDatagramIsRejectedWithoutException(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Datagram out = new Datagram().begin(Datagram.Kind.GOSSIP, 3, 9, 1, 2, 4);
        for (int each = random.nextInt(10); each > 0; each--) {
            out.addEntry(each, MemberState.SUSPECT, 5, new int[] {1, 2}, 100);
        }
        byte[] datagram = out.finish();
        byte[] corrupted = datagram.clone();
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
        RecordingReader recorder = new RecordingReader();
        assertTrue(Datagram.read(100, corrupted, corrupted.length, 10, recorder) != null);
        assertTrue(Datagram.read(100, datagram, random.nextInt(datagram.length), 10, recorder) != null);
        assertTrue(recorder.events.isEmpty(), "nothing of a corrupted datagram is passed on");
    }

    @Property(tries = 500, seed = "20261201")
    void randomBytesWithAValidChecksumCauseNoException(@ForAll @Size(min = 1, max = 240) byte[] noise) {
        byte[] datagram = Arrays.copyOf(noise, noise.length + 4);
        datagram[0] = Datagram.VERSION;
        java.util.zip.CRC32 sum = new java.util.zip.CRC32();
        sum.update(datagram, 0, noise.length);
        java.nio.ByteBuffer.wrap(datagram).putInt(noise.length, (int) sum.getValue());
        MembershipView view = new MembershipView(
                4,
                0,
                1,
                MembershipSettings.defaults(),
                new SplittableRandom(1),
                new MembershipView.Transport() {
                    @Override
                    public void send(int index, byte[] datagram) {
                        assertTrue(index > 0 && index < 4 && datagram.length <= 256);
                    }

                    @Override
                    public boolean broadcast(byte[] datagram) {
                        return true;
                    }
                },
                (index, was, is) -> {});
        view.start(100);
        view.onDatagram(100.1, 2, datagram, datagram.length);
        view.tick(100.2);
    }

    @Test
    void aFullDatagramRejectsFurtherEntries() {
        Datagram out = new Datagram().begin(Datagram.Kind.GOSSIP, 0, 1, 0, 0, 0);
        while (out.hasRoom()) {
            out.addEntry(1, MemberState.SUSPECT, 1, new int[] {1, 2, 3, 4}, 1);
        }
        assertThrows(IllegalStateException.class, () -> out.addEntry(1, MemberState.ALIVE, 1, new int[0], 0));
        assertTrue(out.finish().length <= 256);
    }

    @Property(tries = 200, seed = "20261201")
    void everyUpdateIsSentTheMaximumNumberOfTimesLeastSentFirst(
            @ForAll @IntRange(min = 1, max = 50) int size, @ForAll @IntRange(min = 1, max = 7) int room) {
        GossipQueue gossipQueue = new GossipQueue(size);
        int[] sent = new int[size];
        for (int index = 0; index < size; index++) {
            gossipQueue.add(index);
        }
        for (int turn = 0; gossipQueue.hasPending(); turn++) {
            assertTrue(turn <= 5 * size, "updates are sent without end");
            int[] left = {room};
            gossipQueue.drain(4, index -> {
                if (left[0] == 0) {
                    return false;
                }
                left[0]--;
                sent[index]++;
                return true;
            });
            int most = Arrays.stream(sent).max().orElse(0);
            assertTrue(Arrays.stream(sent).min().orElse(0) >= most - 1 - (room > size ? 1 : 0), Arrays.toString(sent));
        }
        assertTrue(Arrays.stream(sent).allMatch(each -> each == 4), Arrays.toString(sent));
    }

    @Property(tries = 200, seed = "20261201")
    void eachActiveMemberIsProbedByExactlyOneOtherPerRound(
            @ForAll @IntRange(min = 2, max = 60) int size, @ForAll long turn, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Member[] members = new Member[size];
        for (int index = 0; index < size; index++) {
            members[index] = new Member(index);
            members[index].merge(0, index < 2 || random.nextBoolean() ? MemberState.ALIVE : MemberState.DEAD, 1);
        }
        int[] probeCounts = new int[size];
        for (Member each : members) {
            if (each.state == MemberState.ALIVE) {
                int target = new ProbeSchedule(0.4).target(turn, each.index, members);
                assertTrue(target != each.index);
                probeCounts[target]++;
            }
        }
        for (Member each : members) {
            assertEquals(each.state == MemberState.ALIVE ? 1 : 0, probeCounts[each.index]);
        }
    }

    @Property(tries = 200, seed = "20261201")
    void moreAccusersNeverLengthenTheTimeoutAndItStaysWithinItsBounds(
            @ForAll @IntRange(min = 2, max = 1000) int members, @ForAll @IntRange(min = 1, max = 6) int accusers) {
        MembershipSettings settings = MembershipSettings.defaults();
        Suspicion suspicion = new Suspicion(settings);
        double timeoutSeconds = suspicion.timeoutSeconds(accusers, members);
        assertTrue(timeoutSeconds >= settings.minSilenceSeconds() && timeoutSeconds <= settings.maxSilenceSeconds());
        assertTrue(suspicion.timeoutSeconds(accusers + 1, members) <= timeoutSeconds);
    }

    @Test
    void anIncarnationThatCannotBeRefutedIsRejected() {
        Datagram out = new Datagram().begin(Datagram.Kind.GOSSIP, 1, 5, 0, 0, 0);
        out.addEntry(2, MemberState.DEAD, (1L << 48) - 1, new int[0], 0);
        byte[] datagram = out.finish();
        RecordingReader recorder = new RecordingReader();
        assertEquals("form", Datagram.read(100, datagram, datagram.length, 4, recorder));
        assertTrue(recorder.events.isEmpty());
    }
}
