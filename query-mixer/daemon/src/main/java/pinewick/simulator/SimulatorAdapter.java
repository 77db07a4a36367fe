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

/** Speaks the bench's wire: reads batches, turns each line into calls on its mixer, writes the reply. */
public final class SimulatorAdapter {
    private final BufferedReader in;
    private final BufferedWriter out;
    private final Map<Integer, SimulatedMixer> mixers = new HashMap<>();
    private final Map<Integer, List<SchedulerHost.ReplicaEntry>> pools = new HashMap<>();
    private final Map<Integer, SimulatedMixer> touched = new LinkedHashMap<>();
    private long lines;

    private SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16);
    }

    /** Serves until the input ends; malformed input ends the process with a message and exit code 1. */
    public static void run(InputStream in, OutputStream out) throws IOException {
        SimulatorAdapter link = new SimulatorAdapter(in, out);
        String line = "";
        try {
            while ((line = link.next()) != null) {
                link.batch(new ProtocolLine(line));
            }
        } catch (IllegalArgumentException wrong) {
            System.err.println("benchlink: line " + link.lines + ": " + wrong.getMessage());
            System.exit(1);
        }
    }

    private String next() throws IOException {
        String line = in.readLine();
        lines++;
        return line;
    }

    private void batch(ProtocolLine begin) throws IOException {
        if (!begin.verb().equals("begin_batch")) {
            throw new IllegalArgumentException("begin_batch expected, not '" + begin.verb() + "'");
        }
        long clock = begin.whole("sim-time-ns");
        touched.clear();
        while (true) {
            String line = next();
            if (line == null) {
                throw new IllegalArgumentException("input ended within a batch");
            }
            if (line.equals("flush")) {
                break;
            }
            ProtocolLine event = new ProtocolLine(line);
            if (event.verb().equals("pool")) {
                pool(event);
            } else {
                event(event, clock);
            }
        }
        for (SimulatedMixer mixer : touched.values()) {
            mixer.endOfBatch();
            mixer.drainTo(out);
        }
        out.write("yield serial=" + begin.text("serial") + "\n");
        out.flush();
    }

    private void pool(ProtocolLine head) throws IOException {
        List<SchedulerHost.ReplicaEntry> entries = new ArrayList<>();
        for (long left = head.whole("items"); left > 0; left--) {
            String line = next();
            if (line == null || !line.startsWith("m ")) {
                throw new IllegalArgumentException("an entry of the pool expected");
            }
            ProtocolLine m = new ProtocolLine(line);
            SchedulerHost.LifecycleState stage =
                    switch ((int) m.whole("stage-state", 1)) {
                        case 0 -> SchedulerHost.LifecycleState.GONE;
                        case 2 -> SchedulerHost.LifecycleState.DRAINING;
                        default -> SchedulerHost.LifecycleState.READY;
                    };
            entries.add(new SchedulerHost.ReplicaEntry(
                    m.text("searcher"),
                    (int) m.whole("cell", 0),
                    m.text("site", ""),
                    stage,
                    m.seconds("ready-at-ns", 0)));
        }
        pools.put((int) head.whole("slot"), entries);
    }

    private void event(ProtocolLine event, long clock) {
        int number = (int) event.whole("mixer");
        if (event.verb().equals("halt")) {
            mixers.remove(number);
            touched.remove(number);
            return;
        }
        if (event.verb().equals("open_instance")) {
            SimulatedMixer opened = new SimulatedMixer(number, clock, event);
            mixers.put(number, opened);
            touched.put(number, opened);
            return;
        }
        SimulatedMixer mixer = mixers.get(number);
        if (mixer == null) {
            throw new IllegalArgumentException("mixer " + number + " was never opened");
        }
        touched.put(number, mixer);
        List<SchedulerHost.ReplicaEntry> entries = List.of();
        if (event.verb().equals("discovery") && event.whole("form") != 3) {
            entries = pools.get((int) event.whole("slot"));
            if (entries == null) {
                throw new IllegalArgumentException("no pool " + event.whole("slot"));
            }
        }
        mixer.event(event, clock, entries);
    }
}
