package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

class ProgramRunnerTest {
    @TempDir
    private Path directory;

    private final List<String> calls = new ArrayList<>();
    private final BlockingQueue<ProcessEvent> events = new LinkedBlockingQueue<>();

    /** Records the calls it receives and fails at the given step. */
    private final class RecordingProgram implements Program {
        private final String failingStep;

        RecordingProgram(String failingStep) {
            this.failingStep = failingStep;
        }

        @Override
        public void start() throws IOException {
            recordCall("start");
        }

        @Override
        public void stop() throws IOException {
            recordCall("stop");
        }

        @Override
        public void updateSeeds(List<SocketAddress> seeds) {
            calls.add("seeds " + seeds);
        }

        private void recordCall(String step) throws IOException {
            calls.add(step);
            if (step.equals(failingStep)) {
                throw new IOException(step + " (10.1.0.10:8161) failed");
            }
        }
    }

    private int run(String settings, String failingStep) throws IOException {
        Path file = Files.writeString(directory.resolve("node.toml"), settings);
        return new ProgramRunner(
                        file, "frontend", (NodeSettings parsedSettings) -> new RecordingProgram(failingStep), events)
                .run();
    }

    @Test
    void startsAndStopsOnASignal() throws IOException {
        events.add(ProcessEvent.STOP);

        assertEquals(0, run(SampleSettings.ROUTER, ""));
        assertEquals(List.of("start", "stop"), calls);
    }

    @Test
    void updatesChangedSeedsBeforeItStops() throws IOException {
        Path file = Files.writeString(directory.resolve("node.toml"), SampleSettings.ROUTER);
        events.add(ProcessEvent.RELOAD_SETTINGS);
        events.add(ProcessEvent.STOP);
        Program.Factory factory = settings -> {
            rewrite(file, SampleSettings.ROUTER.replaceFirst("seed_nodes = .*", "seed_nodes = [\"10.9.9.9:8166\"]"));
            return new RecordingProgram("");
        };

        assertEquals(0, new ProgramRunner(file, "frontend", factory, events).run());
        assertEquals(List.of("start", "seeds [10.9.9.9:8166]", "stop"), calls);
    }

    private static void rewrite(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void exitsWithUsageErrorForInvalidSettings() throws IOException {
        assertEquals(2, run("node_name = 1", ""));
        assertEquals(List.of(), calls);
    }

    @Test
    void rejectsSettingsOfAnotherRole() throws IOException {
        assertEquals(2, run(SampleSettings.CONTROLLER, ""));
        assertEquals(List.of(), calls);
    }

    @Test
    void exitsWithFailureWhenTheProgramCannotStartOrStop() throws IOException {
        events.add(ProcessEvent.STOP);

        assertEquals(1, run(SampleSettings.ROUTER, "start"));
        assertEquals(1, run(SampleSettings.ROUTER, "stop"));
        assertEquals(List.of("start", "start", "stop"), calls);
    }
}
