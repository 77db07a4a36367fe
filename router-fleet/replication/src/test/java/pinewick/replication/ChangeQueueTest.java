package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which decision determines the outcome when the same change is submitted again. */
class ChangeQueueTest {
    private static final double DEADLINE_MS = 4_000;
    private static final ChangeOutcome CONFLICT = new ChangeOutcome.VersionConflict(3);

    private final ChangeQueue queue = new ChangeQueue();
    private final List<String> outcomes = new ArrayList<>();
    private final ConfigurationChange change =
            new ConfigurationChange(ConfigurationChange.Kind.REPLACE, 7, "{}".getBytes(StandardCharsets.UTF_8));

    private void send(String name) {
        queue.add(change, DEADLINE_MS, outcome -> outcomes.add(name + " " + outcome));
    }

    private void rejectNext() {
        queue.completeOnceConfirmed(queue.next().orElseThrow(), CONFLICT);
    }

    @Test
    void processesASubmissionAfterTheRejectionSeparately() {
        send("first");
        rejectNext();
        queue.onHeartbeatSent(1);
        send("second");
        queue.onHeartbeatConfirmed(1);
        assertEquals(List.of("first " + CONFLICT), outcomes, "round 1 started before the second submission");
        rejectNext();
        queue.onHeartbeatSent(2);
        queue.onHeartbeatConfirmed(2);
        assertEquals(List.of("first " + CONFLICT, "second " + CONFLICT), outcomes);
    }

    @Test
    void processesBothAgainInANewEpoch() {
        send("first");
        rejectNext();
        send("second");
        queue.requeueUnconfirmed();
        rejectNext();
        queue.onHeartbeatSent(1);
        queue.onHeartbeatConfirmed(1);
        assertEquals(2, outcomes.size());
    }

    @Test
    void expiresBothAtTheirDeadline() {
        send("first");
        rejectNext();
        send("second");
        queue.expire(DEADLINE_MS);
        assertEquals(2, outcomes.size());
        assertEquals(true, queue.isEmpty());
    }

    @Test
    void failsBothWhenThePrimaryStepsDown() {
        send("first");
        rejectNext();
        send("second");
        queue.failAll(new ChangeOutcome.NotPrimary(java.util.Optional.empty()));
        assertEquals(2, outcomes.size());
    }
}
