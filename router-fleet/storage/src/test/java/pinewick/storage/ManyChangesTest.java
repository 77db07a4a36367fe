package pinewick.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pinewick.model.ConfigurationDocument;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;

/** Thousands of changes at the maximum rate of the disk: checks the peak disk usage and the cost per change. */
class ManyChangesTest {
    private static final long DISK_BYTES = 128L << 20;
    private static final int ROUTES = 2_000;
    private static final int DELTAS = 3_000;
    private static final int FULL_DOCUMENTS = 300;
    private static final int MIXED_CHANGES = 2_000;
    private static final int FULL_DOCUMENT_INTERVAL = 10;
    private static final int MEDIAN_WINDOW = 200;

    @TempDir
    Path directory;

    private long maxBytes;

    @Test
    void changeCostDoesNotGrowWithTheNumberOfChanges() throws Exception {
        double[] cpuMs = new double[DELTAS];
        double[] wallMs = new double[DELTAS];
        try (SingleController controller = new SingleController(directory)) {
            long version = controller.accept(SampleChanges.replacement(0, ROUTES));
            for (int index = 0; index < DELTAS; index++) {
                ConfigurationChange change = SampleChanges.update(version, ROUTES);
                long cpuNs = cpuNs();
                long startNs = System.nanoTime();
                version = controller.accept(change);
                wallMs[index] = (System.nanoTime() - startNs) / 1e6;
                cpuMs[index] = (cpuNs() - cpuNs) / 1e6;
                updateMaxBytes();
            }
        }
        System.out.printf("storage: %d deltas of %d routes, at most %d KB on disk%n", DELTAS, ROUTES, maxBytes >> 10);
        for (int changeCount : new int[] {MEDIAN_WINDOW, 1_000, DELTAS}) {
            System.out.printf(
                    "  median of the %d changes up to change %d: %.3f ms CPU of the control loop, %.3f ms in total%n",
                    MEDIAN_WINDOW, changeCount, median(cpuMs, changeCount), median(wallMs, changeCount));
        }
        assertTrue(maxBytes < DISK_BYTES / 4, "disk usage in bytes: " + maxBytes);
        assertTrue(
                median(cpuMs, DELTAS) < 2 * median(cpuMs, 1_000),
                "the cost of a change grows with the number of changes");
    }

    private static double median(double[] values, int changeCount) {
        double[] window = Arrays.copyOfRange(values, changeCount - MEDIAN_WINDOW, changeCount);
        Arrays.sort(window);
        return window[MEDIAN_WINDOW / 2];
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    @Test
    void consecutiveFullDocumentsDoNotFillTheDisk() throws Exception {
        try (SingleController controller = new SingleController(directory)) {
            long version = 0;
            long startNs = System.nanoTime();
            for (int index = 0; index < FULL_DOCUMENTS; index++) {
                version = controller.accept(SampleChanges.replacement(version, ROUTES));
                updateMaxBytes();
            }
            double seconds = (System.nanoTime() - startNs) / 1e9;
            System.out.printf(
                    "storage: %d full documents of %d routes in %.1f s, at most %d KB on disk%n",
                    FULL_DOCUMENTS, ROUTES, seconds, maxBytes >> 10);
        }
        assertTrue(maxBytes < DISK_BYTES / 4, "disk usage in bytes: " + maxBytes);
    }

    @Test
    void restartAfterTwoThousandChangesRestoresTheLastAndRecognisesResentChanges() throws Exception {
        ConfigurationChange first = SampleChanges.replacement(0, ROUTES);
        ConfigurationDocument last;
        try (SingleController controller = new SingleController(directory)) {
            long version = controller.accept(first);
            for (int index = 1; index < MIXED_CHANGES; index++) {
                boolean isFullDocument = index % FULL_DOCUMENT_INTERVAL == 0;
                version = controller.accept(
                        isFullDocument
                                ? SampleChanges.replacement(version, ROUTES)
                                : SampleChanges.update(version, ROUTES));
                updateMaxBytes();
            }
            last = controller.read().orElseThrow();
            System.out.printf("storage: %d mixed changes, at most %d KB on disk%n", MIXED_CHANGES, maxBytes >> 10);
        }
        assertTrue(maxBytes < DISK_BYTES / 4, "disk usage in bytes: " + maxBytes);
        try (SingleController controller = new SingleController(directory)) {
            assertEquals(last, controller.read().orElseThrow());
            assertEquals(1, controller.accept(first), "a resent change gets the response of the first submission");
            ConfigurationChange resent = SampleChanges.update(1, ROUTES);
            assertInstanceOf(
                    ChangeOutcome.Accepted.class,
                    controller.submit(resent),
                    "a change that was accepted is accepted again");
            ConfigurationChange stale = SampleChanges.replacement(1, ROUTES);
            assertInstanceOf(ChangeOutcome.VersionConflict.class, controller.submit(stale));
        }
    }

    private void updateMaxBytes() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            long bytes = files.filter(Files::isRegularFile)
                    .mapToLong(ManyChangesTest::sizeOf)
                    .sum();
            maxBytes = Math.max(maxBytes, bytes);
        }
    }

    private static long sizeOf(Path file) {
        try {
            return Files.size(file);
        } catch (NoSuchFileException e) {
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
