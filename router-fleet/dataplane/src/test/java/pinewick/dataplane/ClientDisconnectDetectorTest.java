package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How soon clients that leave are noticed, in virtual time. */
class ClientDisconnectDetectorTest {
    /** What the users allow between a client's departure and the end of work for it. */
    private static final double ALLOWED_MS = 500;

    /** What is left for a busy machine and the way to the replica. */
    private static final double MOST_MS = ALLOWED_MS - 200;

    private final VirtualTimers timers = new VirtualTimers();
    private final ClientDisconnectDetector watch = new ClientDisconnectDetector(timers);

    /** A client that leaves at a time of its own. */
    private final class DisconnectingClient implements ClientDisconnectDetector.Client {
        private final double leavesAtMs;
        private double noticedAtMs = Double.NaN;

        DisconnectingClient(double leavesAtMs) {
            this.leavesAtMs = leavesAtMs;
        }

        @Override
        public void checkDisconnected(double nowMs) {
            if (nowMs >= leavesAtMs) {
                noticedAtMs = nowMs;
                watch.remove(this);
            }
        }

        double noticedAfterMs() {
            return noticedAtMs - leavesAtMs;
        }
    }

    @Test
    void aDisconnectIsDetectedWithinTheTimeAllowed() {
        for (int delay = 0; delay < 400; delay++) {
            DisconnectingClient client = new DisconnectingClient(timers.nowMs() + delay);
            watch.add(client);
            timers.advance(delay + ALLOWED_MS);
            assertEquals(true, client.noticedAfterMs() <= MOST_MS, "noticed after " + client.noticedAfterMs());
        }
    }

    @Test
    void aQuicklyAnsweredRequestIsNotChecked() {
        DisconnectingClient client = new DisconnectingClient(timers.nowMs());
        watch.add(client);
        timers.advance(ClientDisconnectDetector.PERIOD_MS);
        assertEquals(true, Double.isNaN(client.noticedAtMs));
        watch.remove(client);
        timers.advance(ALLOWED_MS);
        assertEquals(true, Double.isNaN(client.noticedAtMs));
    }

    @Test
    void nothingIsScheduledWithoutOpenRequests() {
        DisconnectingClient client = new DisconnectingClient(timers.nowMs());
        watch.add(client);
        timers.advance(3 * ClientDisconnectDetector.PERIOD_MS);
        assertEquals(0, timers.pending());
    }
}
