package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pinewick.dissemination.FleetMessages.HeartbeatBatch;
import pinewick.dissemination.FleetMessages.HeartbeatReport;
import pinewick.model.SocketAddress;

/** Which controller received the last heartbeat of a replica. */
class HeartbeatReportersTest {
    private static final SocketAddress SECOND = new SocketAddress("10.2.0.4", 7721);
    private static final SocketAddress THIRD = new SocketAddress("10.3.0.4", 7721);

    private final HeartbeatReporters reporters = new HeartbeatReporters();

    private static HeartbeatBatch batch(String instanceId, int ageMs) {
        return new HeartbeatBatch(List.of(new HeartbeatReport(instanceId, 1, ageMs)));
    }

    @Test
    void usesTheLatestHeartbeatNotTheLatestBatch() {
        reporters.recordRemote(SECOND, batch("i-1", 50), 1_000);
        reporters.recordRemote(THIRD, batch("i-1", 300), 1_100);
        assertEquals(Optional.of(SECOND), reporters.reporterOf("i-1"));
        reporters.recordRemote(THIRD, batch("i-1", 10), 1_200);
        assertEquals(Optional.of(THIRD), reporters.reporterOf("i-1"));
    }

    @Test
    void reportsNoOtherControllerAfterALocalHeartbeat() {
        reporters.recordRemote(SECOND, batch("i-1", 50), 1_000);
        reporters.recordLocal("i-1", 1_100);
        assertEquals(Optional.empty(), reporters.reporterOf("i-1"));
        reporters.recordRemote(SECOND, batch("i-1", 200), 1_200);
        assertEquals(Optional.empty(), reporters.reporterOf("i-1"), "the local heartbeat is later");
        assertEquals(Optional.empty(), reporters.reporterOf("i-2"), "no heartbeat received");
    }

    @Test
    void removesInstancesWithoutARecord() {
        reporters.recordRemote(SECOND, batch("i-1", 50), 1_000);
        reporters.retain(id -> false);
        assertEquals(Optional.empty(), reporters.reporterOf("i-1"));
    }
}
