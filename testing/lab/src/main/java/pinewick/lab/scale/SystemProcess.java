package pinewick.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

/**
 * A process of one of the system's programs, started with the command from the deploy file. A guard shell kills the
 * program when the laboratory exits for any reason, and unconditionally after a time limit.
 */
public final class SystemProcess implements AutoCloseable {
    private static final String GUARD =
            """
            "$@" </dev/null >>"$PINEWICK_LAB_LOG" 2>&1 &
            child=$!
            echo $child
            read -r -t "$PINEWICK_LAB_SECONDS" line
            kill -9 $child
            """;
    private static final long EXIT_TIMEOUT_SECONDS = 5;
    private static final long POLL_NS = 10_000_000;

    private final String role;
    private final Path settings;
    private final Path log;
    private final long maxLifetimeSeconds;
    private final UnaryOperator<List<String>> commandTransformer;
    private Process guard;
    private ProcessHandle program;
    private long startedAtNs;
    private boolean running;
    private boolean killed;

    /** @param maxLifetimeSeconds time limit after which the process is killed unconditionally, seconds */
    public SystemProcess(String role, Path settings, Path log, long maxLifetimeSeconds) {
        this(role, settings, log, maxLifetimeSeconds, UnaryOperator.identity());
    }

    /**
     * @param maxLifetimeSeconds time limit after which the process is killed unconditionally, seconds
     * @param commandTransformer transforms the command from the deploy file
     */
    public SystemProcess(
            String role,
            Path settings,
            Path log,
            long maxLifetimeSeconds,
            UnaryOperator<List<String>> commandTransformer) {
        this.commandTransformer = commandTransformer;
        this.role = role;
        this.settings = settings;
        this.log = log;
        this.maxLifetimeSeconds = maxLifetimeSeconds;
    }

    /** Starts the process, or restarts it after it has ended. */
    public void start() throws IOException {
        List<String> command = new ArrayList<>(List.of("bash", "-c", GUARD, "guard"));
        command.addAll(commandTransformer.apply(commandOf(role)));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PINEWICK_CONFIG", settings.toString());
        builder.environment().put("PINEWICK_LAB_LOG", log.toString());
        builder.environment().put("PINEWICK_LAB_SECONDS", Long.toString(maxLifetimeSeconds));
        startedAtNs = System.nanoTime();
        guard = builder.start();
        BufferedReader output =
                new BufferedReader(new InputStreamReader(guard.getInputStream(), StandardCharsets.US_ASCII));
        String pid = output.readLine();
        program =
                ProcessHandle.of(Long.parseLong(pid)).orElseThrow(() -> new IOException(role + " exited immediately"));
        running = true;
        killed = false;
    }

    /** The command of a role, from the deploy file. */
    private static List<String> commandOf(String role) throws IOException {
        boolean inSection = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inSection = line.startsWith("[") ? line.equals("[roles." + role + "]") : inSection;
            if (inSection && line.startsWith("run = ")) {
                String runLine = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(runLine.replaceFirst("^exec ", "").split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no role " + role);
    }

    /** Monotonic time of the last start, nanoseconds. */
    public long startedAtNs() {
        return startedAtNs;
    }

    /** Whether the process is running. */
    public boolean running() {
        return running && program.isAlive();
    }

    /** Whether the laboratory killed the process. */
    boolean killed() {
        return killed;
    }

    /** The last line of its log; empty if there is none. */
    public String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    /** The last lines of its log. */
    public List<String> lastLogLines(int limit) throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.subList(Math.max(0, lines.size() - limit), lines.size());
    }

    /** Its resource usage so far. */
    public ProcessUsage usage() {
        return ProcessUsage.of(program.pid());
    }

    /** Kills the process without notice, like a power failure. */
    public void kill() throws InterruptedException {
        running = false;
        killed = true;
        program.destroyForcibly();
        guard.destroy();
        guard.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Requests a graceful shutdown, as for planned maintenance. */
    public void terminate() {
        running = false;
        program.destroy();
    }

    /** Suspends the process with SIGSTOP until {@link #thaw}. */
    public void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes a suspended process. */
    public void thaw() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(program.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the program to exit; returns whether it has exited. */
    public boolean awaitEnd() {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EXIT_TIMEOUT_SECONDS);
        while (program != null && program.isAlive() && System.nanoTime() < deadlineNs) {
            // Polls because the program is the guard's child, and the JDK rarely checks processes that are not its own.
            LockSupport.parkNanos(POLL_NS);
        }
        return program == null || !program.isAlive();
    }

    @Override
    public void close() {
        if (guard == null) {
            return;
        }
        if (program != null) {
            program.destroyForcibly();
        }
        try (OutputStream input = guard.getOutputStream()) {
            input.flush();
        } catch (IOException e) {
            guard.destroy();
        }
    }
}
