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

/** Thousands of changes, as fast as the disk takes them: the most space ever taken, and the cost of each. */
class ManyChangesTest {
    private static final long DISK_BYTES = 128L << 20;
    private static final int ROUTES = 2_000;
    private static final int DELTAS = 3_000;
    private static final int WHOLE_DOCUMENTS = 300;
    private static final int MIXED = 2_000;
    private static final int WHOLE_EVERY = 10;
    private static final int WINDOW = 200;

    @TempDir
    Path directory;

    private long mostBytes;

    @Test
    void theCostOfAChangeDoesNotGrowWithTheNumberOfChanges() throws Exception {
        double[] cpuMs = new double[DELTAS];
        double[] wallMs = new double[DELTAS];
        try (SingleController controller = new SingleController(directory)) {
            long version = controller.accept(SampleChanges.replacement(0, ROUTES));
            for (int number = 0; number < DELTAS; number++) {
                ConfigurationChange change = SampleChanges.update(version, ROUTES);
                long cpuNs = cpuNs();
                long startNs = System.nanoTime();
                version = controller.accept(change);
                wallMs[number] = (System.nanoTime() - startNs) / 1e6;
                cpuMs[number] = (cpuNs() - cpuNs) / 1e6;
                noteSize();
            }
        }
        System.out.printf("storage: %d deltas of %d routes, at most %d KB on disk%n", DELTAS, ROUTES, mostBytes >> 10);
        for (int upTo : new int[] {WINDOW, 1_000, DELTAS}) {
            System.out.printf(
                    "  median of the %d changes before the %d.: %.3f ms of the control loop, %.3f ms in all%n",
                    WINDOW, upTo, median(cpuMs, upTo), median(wallMs, upTo));
        }
        assertTrue(mostBytes < DISK_BYTES / 4, "took " + mostBytes);
        assertTrue(median(cpuMs, DELTAS) < 2 * median(cpuMs, 1_000), "the cost grows");
    }

    private static double median(double[] values, int upTo) {
        double[] window = Arrays.copyOfRange(values, upTo - WINDOW, upTo);
        Arrays.sort(window);
        return window[WINDOW / 2];
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    @Test
    void consecutiveFullDocumentsDoNotFillTheDisk() throws Exception {
        try (SingleController controller = new SingleController(directory)) {
            long version = 0;
            long startNs = System.nanoTime();
            for (int number = 0; number < WHOLE_DOCUMENTS; number++) {
                version = controller.accept(SampleChanges.replacement(version, ROUTES));
                noteSize();
            }
            double seconds = (System.nanoTime() - startNs) / 1e9;
            System.out.printf(
                    "storage: %d whole documents of %d routes in %.1f s, at most %d KB on disk%n",
                    WHOLE_DOCUMENTS, ROUTES, seconds, mostBytes >> 10);
        }
        assertTrue(mostBytes < DISK_BYTES / 4, "took " + mostBytes);
    }

    @Test
    void afterTwoThousandChangesANewProcessHasTheLastAndRecognisesTheFirst() throws Exception {
        ConfigurationChange first = SampleChanges.replacement(0, ROUTES);
        ConfigurationDocument last;
        try (SingleController controller = new SingleController(directory)) {
            long version = controller.accept(first);
            for (int number = 1; number < MIXED; number++) {
                boolean whole = number % WHOLE_EVERY == 0;
                version = controller.accept(
                        whole ? SampleChanges.replacement(version, ROUTES) : SampleChanges.update(version, ROUTES));
                noteSize();
            }
            last = controller.read().orElseThrow();
            System.out.printf("storage: %d mixed changes, at most %d KB on disk%n", MIXED, mostBytes >> 10);
        }
        assertTrue(mostBytes < DISK_BYTES / 4, "took " + mostBytes);
        try (SingleController controller = new SingleController(directory)) {
            assertEquals(last, controller.read().orElseThrow());
            assertEquals(1, controller.accept(first), "a resent change is answered as the first time");
            ConfigurationChange other = SampleChanges.update(1, ROUTES);
            assertInstanceOf(ChangeOutcome.Accepted.class, controller.submit(other), "accepted once, so again");
            ConfigurationChange stale = SampleChanges.replacement(1, ROUTES);
            assertInstanceOf(ChangeOutcome.VersionConflict.class, controller.submit(stale));
        }
    }

    private void noteSize() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            long bytes = files.filter(Files::isRegularFile)
                    .mapToLong(ManyChangesTest::sizeOf)
                    .sum();
            mostBytes = Math.max(mostBytes, bytes);
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
