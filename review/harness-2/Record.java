import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with times; written to record.txt of the case. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        lines.add(String.format(Locale.ROOT, "%8.3f s  %s", (System.nanoTime() - startNanos) / 1e9, line));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines, StandardCharsets.UTF_8);
    }
}
