package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.NodeSettings;

class TrainingEnvironmentTest {
    @TempDir
    private Path folder;

    @Test
    void writesValidConsistentSettingsForBothPrograms() throws IOException, InvalidSettingsException {
        try (TrainingEnvironment stage = new TrainingEnvironment(folder)) {
            NodeSettings router = stage.routerSettings();
            NodeSettings controller = stage.controllerSettings();

            assertEquals(Optional.of(stage.frontend()), router.frontend());
            assertEquals(Optional.of(stage.readiness()), router.readiness());
            assertEquals(Optional.of(stage.controlPlane()), controller.controlPlane());
            assertEquals(List.of(stage.controlPlane()), router.seedNodes());
            assertEquals(router.controllerPort(), controller.controllerPort());
            assertTrue(Files.isDirectory(controller.dataDirectory().orElseThrow()));
            assertEquals(3, stage.replicas().size());
        }
    }

    @Test
    void leavesNothingBehind() throws IOException, InvalidSettingsException {
        TrainingEnvironment stage = new TrainingEnvironment(folder);
        Files.writeString(
                stage.controllerSettings().dataDirectory().orElseThrow().resolve("store"), "x");
        stage.close();

        try (Stream<Path> left = Files.list(folder)) {
            assertEquals(0, left.count());
        }
    }
}
