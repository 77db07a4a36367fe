package pinewick;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Fails a test at once where SIGHUP can't reach the processes that it starts. An ignored signal stays ignored across
 * fork and exec, and a JVM that starts with SIGHUP ignored installs no handler for it.
 */
final class SighupPrecondition {
    private static final Path OWN_STATUS = Path.of("/proc/self/status");
    private static final String IGNORED_SIGNALS = "SigIgn:";
    private static final long HANG_UP_BIT = 1; // signal 1 is the lowest bit of the mask

    private SighupPrecondition() {}

    /** Checks this process, from which its children inherit the mask. Does nothing where there is no /proc. */
    static void check() throws IOException {
        if (Files.exists(OWN_STATUS)) {
            assertFalse(
                    ignoresHangUp(Files.readString(OWN_STATUS)),
                    "SIGHUP is ignored by the parent process:"
                            + " nohup, or the like, started the tests; setsid detaches them without that");
        }
    }

    /** Whether a process with this /proc status ignores SIGHUP. */
    static boolean ignoresHangUp(String status) {
        String mask = status.lines()
                .filter(line -> line.startsWith(IGNORED_SIGNALS))
                .map(line -> line.substring(IGNORED_SIGNALS.length()).trim())
                .findFirst()
                .orElseThrow();
        return (Long.parseUnsignedLong(mask, 16) & HANG_UP_BIT) != 0;
    }
}
