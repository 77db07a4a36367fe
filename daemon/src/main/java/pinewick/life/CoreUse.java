package pinewick.life;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Where this process's core went, by thread: the loop, the compiler, the collector and so on. */
final class CoreUse {
    private static final double TICKS = 100; // a second, in the system's accounts of threads

    private CoreUse() {
    }

    /** Seconds of core by name of thread, those under 0.02 s left out; empty where the system keeps no such accounts. */
    static String text() {
        Map<String, Double> used = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                String stat = Files.readString(task.resolve("stat"));
                int open = stat.indexOf('(');
                int close = stat.lastIndexOf(')');
                String[] words = stat.substring(close + 2).split(" ");
                used.merge(stat.substring(open + 1, close).replace(' ', '-'),
                    (Double.parseDouble(words[11]) + Double.parseDouble(words[12])) / TICKS, Double::sum);
            }
        } catch (IOException | RuntimeException none) {
            return "";
        }
        StringBuilder text = new StringBuilder();
        used.forEach((name, seconds) -> {
            if (seconds >= 0.02) {
                text.append("core-").append(name).append(' ').append(Math.round(seconds * 100) / 100.0).append(';');
            }
        });
        return text.toString();
    }
}
