package pinewick.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how the laboratory parses and aggregates readings of the kernel, HTTP responses and processes. */
class ReadingsTest {
    @Test
    void readsCpuTimeAfterANameWithSpacesAndBrackets() {
        String stat = "17 (a) b) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 9 0 100 1 2";
        assertEquals(3_000, ProcessUsage.cpuMs(stat));
    }

    @Test
    void returnsZeroForAMissingLabel() {
        assertEquals(1_234, ProcessUsage.number("VmHWM:\t 9 kB\nVmRSS:\t    1234 kB\n", "VmRSS:"));
        assertEquals(0, ProcessUsage.number("VmHWM:\t 9 kB\n", "VmRSS:"));
    }

    @Test
    void ignoresThreadsNotAliveAtBothReadings() {
        ProcessUsage before = new ProcessUsage(0, 0, 0, Map.of("1", 10L, "2", 500L));
        ProcessUsage after = new ProcessUsage(0, 0, 0, Map.of("1", 25L, "3", 7L));
        assertEquals(15, after.waitsSince(before));
    }

    @Test
    void completesAResponseWithHeadAndBody() {
        String head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: a/b\r\ncontent-length: 3\r\n\r\n";
        assertFalse(HttpResponseText.isComplete(head.substring(0, head.length() - 1)));
        assertFalse(HttpResponseText.isComplete(head + "ab"));
        assertTrue(HttpResponseText.isComplete(head + "abc"));
        assertEquals(503, HttpResponseText.status(head));
        assertTrue(HttpResponseText.isComplete("HTTP/1.1 204 No Content\r\n\r\n"));
    }

    @Test
    void countsHeadersOfEverySegment() {
        assertEquals(100 + 4 + 52, TrafficMeter.tcpBytes(100));
        assertEquals(1_445 + 4 + 2 * 52, TrafficMeter.tcpBytes(1_445));
    }

    @Test
    void countsMissingProcesses() {
        PropagationDelay delay = PropagationDelay.of(List.of(3_000_000L, 0L, 1_000_000L, 9_000_000L), 1_000_000L, 1);
        assertEquals(new PropagationDelay(2, 8, 1), delay);
        assertEquals(
                new PropagationDelay(2, 10, 3), PropagationDelay.max(List.of(delay, new PropagationDelay(1, 10, 2))));
    }

    @Test
    void distributesAllRoutersOverTheWorkers() {
        ScalePlan plan = ScalePlan.full(420, 2_200);
        int assigned = 0;
        for (int worker = 0; worker < plan.workers(); worker++) {
            assigned += plan.routersOf(worker);
        }
        assertEquals(6, plan.workers());
        assertEquals(420, assigned);
    }
}
