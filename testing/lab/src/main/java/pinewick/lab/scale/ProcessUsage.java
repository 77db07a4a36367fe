package pinewick.lab.scale;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Resource usage of a process so far, from the kernel's accounting.
 *
 * @param cpuMs CPU time, milliseconds
 * @param residentKb current resident memory, KB
 * @param peakKb peak resident memory, KB
 * @param waits voluntary context switches of each live thread, by thread id
 */
public record ProcessUsage(double cpuMs, long residentKb, long peakKb, Map<String, Long> waits) {
    private static final double MS_PER_TICK = 10;
    private static final int FIELDS_TO_USER_TIME = 11;

    /** Reads the usage of a process; all zero if the process does not exist. */
    static ProcessUsage of(long pid) {
        Path folder = Path.of("/proc", Long.toString(pid));
        try {
            String status = Files.readString(folder.resolve("status"));
            return new ProcessUsage(
                    cpuMs(Files.readString(folder.resolve("stat"))),
                    number(status, "VmRSS:"),
                    number(status, "VmHWM:"),
                    waits(folder.resolve("task")));
        } catch (IOException e) {
            return new ProcessUsage(0, 0, 0, Map.of());
        }
    }

    /** CPU time from a stat file. The command name may contain spaces, so parsing starts after its closing bracket. */
    static double cpuMs(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[FIELDS_TO_USER_TIME]) + Long.parseLong(fields[FIELDS_TO_USER_TIME + 1]);
        return ticks * MS_PER_TICK;
    }

    /** The number after a label in a status file, 0 if the label is missing. */
    static long number(String status, String label) {
        int index = status.indexOf(label);
        if (index < 0) {
            return 0;
        }
        String line = status.substring(index + label.length())
                .lines()
                .findFirst()
                .orElse("")
                .trim();
        return Long.parseLong(line.split("\\s")[0]);
    }

    /** Voluntary context switches since an earlier reading, of the threads that were alive at both times. */
    long waitsSince(ProcessUsage before) {
        return waits.entrySet().stream()
                .filter(entry -> before.waits.containsKey(entry.getKey()))
                .mapToLong(entry -> entry.getValue() - before.waits.get(entry.getKey()))
                .sum();
    }

    private static Map<String, Long> waits(Path tasks) throws IOException {
        Map<String, Long> waits = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                waits.put(thread.getFileName().toString(), waitsOfThread(thread));
            }
        }
        return waits;
    }

    private static long waitsOfThread(Path thread) {
        try {
            return number(Files.readString(thread.resolve("status")), "\nvoluntary_ctxt_switches:");
        } catch (IOException e) {
            return 0; // the thread has ended in the meantime
        }
    }
}
