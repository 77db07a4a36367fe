package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How soon client disconnects are detected, in virtual time. */
class ClientDisconnectDetectorTest {
    /** Required maximum from a client's disconnect to the end of work for it, milliseconds. */
    private static final double MAX_CANCELLATION_MS = 500;

    /** Maximum time until detection, milliseconds; the remainder is for a busy machine and the call to the replica. */
    private static final double MAX_DETECTION_MS = MAX_CANCELLATION_MS - 200;

    private final VirtualTimers timers = new VirtualTimers();
    private final ClientDisconnectDetector detector = new ClientDisconnectDetector(timers);

    /** A client that disconnects at a given time. */
    private final class DisconnectingClient implements ClientDisconnectDetector.Client {
        private final double disconnectsAtMs;
        private double detectedAtMs = Double.NaN;

        DisconnectingClient(double disconnectsAtMs) {
            this.disconnectsAtMs = disconnectsAtMs;
        }

        @Override
        public void checkDisconnected(double nowMs) {
            if (nowMs >= disconnectsAtMs) {
                detectedAtMs = nowMs;
                detector.remove(this);
            }
        }

        double detectionDelayMs() {
            return detectedAtMs - disconnectsAtMs;
        }
    }

    @Test
    void aDisconnectIsDetectedWithinTheTimeAllowed() {
        for (int delay = 0; delay < 400; delay++) {
            DisconnectingClient client = new DisconnectingClient(timers.nowMs() + delay);
            detector.add(client);
            timers.advance(delay + MAX_CANCELLATION_MS);
            assertEquals(
                    true, client.detectionDelayMs() <= MAX_DETECTION_MS, "detected after " + client.detectionDelayMs());
        }
    }

    @Test
    void aRequestThatEndsQuicklyIsNotChecked() {
        DisconnectingClient client = new DisconnectingClient(timers.nowMs());
        detector.add(client);
        timers.advance(ClientDisconnectDetector.PERIOD_MS);
        assertEquals(true, Double.isNaN(client.detectedAtMs));
        detector.remove(client);
        timers.advance(MAX_CANCELLATION_MS);
        assertEquals(true, Double.isNaN(client.detectedAtMs));
    }

    @Test
    void nothingIsScheduledWithoutOpenRequests() {
        DisconnectingClient client = new DisconnectingClient(timers.nowMs());
        detector.add(client);
        timers.advance(3 * ClientDisconnectDetector.PERIOD_MS);
        assertEquals(0, timers.pending());
    }
}
