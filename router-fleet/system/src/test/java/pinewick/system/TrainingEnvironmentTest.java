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
    private Path directory;

    @Test
    void writesValidConsistentSettingsForBothPrograms() throws IOException, InvalidSettingsException {
        try (TrainingEnvironment environment = new TrainingEnvironment(directory)) {
            NodeSettings router = environment.routerSettings();
            NodeSettings controller = environment.controllerSettings();

            assertEquals(Optional.of(environment.frontend()), router.frontend());
            assertEquals(Optional.of(environment.readiness()), router.readiness());
            assertEquals(Optional.of(environment.controlPlane()), controller.controlPlane());
            assertEquals(List.of(environment.controlPlane()), router.seedNodes());
            assertEquals(router.controllerPort(), controller.controllerPort());
            assertTrue(Files.isDirectory(controller.dataDirectory().orElseThrow()));
            assertEquals(3, environment.replicas().size());
        }
    }

    @Test
    void removesItsFilesWhenClosed() throws IOException, InvalidSettingsException {
        TrainingEnvironment environment = new TrainingEnvironment(directory);
        Files.writeString(
                environment.controllerSettings().dataDirectory().orElseThrow().resolve("store"), "x");
        environment.close();

        try (Stream<Path> remainingFiles = Files.list(directory)) {
            assertEquals(0, remainingFiles.count());
        }
    }
}
