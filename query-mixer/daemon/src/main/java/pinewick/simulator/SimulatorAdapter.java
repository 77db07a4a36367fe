package pinewick.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.core.SchedulerHost;

/**
 * Implements the line protocol of the simulator: reads batches, turns each line into calls on its mixer, writes the
 * replies.
 */
public final class SimulatorAdapter {
    private final BufferedReader in;
    private final BufferedWriter out;
    private final Map<Integer, SimulatedMixer> mixers = new HashMap<>();
    private final Map<Integer, List<SchedulerHost.ReplicaEntry>> pools = new HashMap<>();
    private final Map<Integer, SimulatedMixer> mixersInBatch = new LinkedHashMap<>();
    private long lineNumber;

    private SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16);
    }

    /** Runs until the input ends; malformed input ends the process with an error message and exit code 1. */
    public static void run(InputStream in, OutputStream out) throws IOException {
        SimulatorAdapter adapter = new SimulatorAdapter(in, out);
        String line = "";
        try {
            while ((line = adapter.readLine()) != null) {
                adapter.handleBatch(new ProtocolLine(line));
            }
        } catch (IllegalArgumentException malformed) {
            System.err.println("benchlink: line " + adapter.lineNumber + ": " + malformed.getMessage());
            System.exit(1);
        }
    }

    private String readLine() throws IOException {
        String line = in.readLine();
        lineNumber++;
        return line;
    }

    private void handleBatch(ProtocolLine begin) throws IOException {
        if (!begin.verb().equals("begin_batch")) {
            throw new IllegalArgumentException("begin_batch expected, not '" + begin.verb() + "'");
        }
        long timeNs = begin.longValue("sim-time-ns");
        mixersInBatch.clear();
        while (true) {
            String line = readLine();
            if (line == null) {
                throw new IllegalArgumentException("input ended within a batch");
            }
            if (line.equals("flush")) {
                break;
            }
            ProtocolLine event = new ProtocolLine(line);
            if (event.verb().equals("pool")) {
                readPool(event);
            } else {
                handleEvent(event, timeNs);
            }
        }
        for (SimulatedMixer mixer : mixersInBatch.values()) {
            mixer.onBatchEnd();
            mixer.writeReplyTo(out);
        }
        out.write("yield serial=" + begin.text("serial") + "\n");
        out.flush();
    }

    private void readPool(ProtocolLine head) throws IOException {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        for (long left = head.longValue("items"); left > 0; left--) {
            String line = readLine();
            if (line == null || !line.startsWith("m ")) {
                throw new IllegalArgumentException("pool entry expected");
            }
            ProtocolLine entry = new ProtocolLine(line);
            SchedulerHost.LifecycleState state =
                    switch ((int) entry.longValue("stage-state", 1)) {
                        case 0 -> SchedulerHost.LifecycleState.GONE;
                        case 2 -> SchedulerHost.LifecycleState.DRAINING;
                        default -> SchedulerHost.LifecycleState.READY;
                    };
            entries.add(new SchedulerHost.ReplicaEntry(
                    entry.text("searcher"),
                    (int) entry.longValue("cell", 0),
                    entry.text("site", ""),
                    state,
                    entry.seconds("ready-at-ns", 0)));
        }
        pools.put((int) head.longValue("slot"), entries);
    }

    private void handleEvent(ProtocolLine event, long timeNs) {
        int mixerId = (int) event.longValue("mixer");
        if (event.verb().equals("halt")) {
            mixers.remove(mixerId);
            mixersInBatch.remove(mixerId);
            return;
        }
        if (event.verb().equals("open_instance")) {
            SimulatedMixer opened = new SimulatedMixer(mixerId, timeNs, event);
            mixers.put(mixerId, opened);
            mixersInBatch.put(mixerId, opened);
            return;
        }
        SimulatedMixer mixer = mixers.get(mixerId);
        if (mixer == null) {
            throw new IllegalArgumentException("mixer " + mixerId + " was never opened");
        }
        mixersInBatch.put(mixerId, mixer);
        List<SchedulerHost.ReplicaEntry> entries = List.of();
        if (event.verb().equals("discovery") && event.longValue("form") != 3) {
            entries = pools.get((int) event.longValue("slot"));
            if (entries == null) {
                throw new IllegalArgumentException("no pool " + event.longValue("slot"));
            }
        }
        mixer.handleEvent(event, timeNs, entries);
    }
}
