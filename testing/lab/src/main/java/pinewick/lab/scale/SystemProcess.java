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
 * One process of the system's own programs, started as the deploy file says. A shell holds its life: it ends the
 * program when the laboratory ends in whatever way, and in any case after a time.
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
    private static final long EXIT_SECONDS = 5;
    private static final long POLL_NS = 10_000_000;

    private final String role;
    private final Path settings;
    private final Path log;
    private final long longestSeconds;
    private final UnaryOperator<List<String>> commandChange;
    private Process guard;
    private ProcessHandle program;
    private long startedAtNs;
    private boolean running;
    private boolean killed;

    /** @param longestSeconds after which it is ended whatever happens */
    public SystemProcess(String role, Path settings, Path log, long longestSeconds) {
        this(role, settings, log, longestSeconds, UnaryOperator.identity());
    }

    /**
     * @param longestSeconds after which it is ended whatever happens
     * @param commandChange changes the command of the deploy file
     */
    public SystemProcess(
            String role, Path settings, Path log, long longestSeconds, UnaryOperator<List<String>> commandChange) {
        this.commandChange = commandChange;
        this.role = role;
        this.settings = settings;
        this.log = log;
        this.longestSeconds = longestSeconds;
    }

    /** Starts it, the first time or again. */
    public void start() throws IOException {
        List<String> words = new ArrayList<>(List.of("bash", "-c", GUARD, "guard"));
        words.addAll(commandChange.apply(commandOf(role)));
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().put("PINEWICK_CONFIG", settings.toString());
        builder.environment().put("PINEWICK_LAB_LOG", log.toString());
        builder.environment().put("PINEWICK_LAB_SECONDS", Long.toString(longestSeconds));
        startedAtNs = System.nanoTime();
        guard = builder.start();
        BufferedReader output =
                new BufferedReader(new InputStreamReader(guard.getInputStream(), StandardCharsets.US_ASCII));
        String pid = output.readLine();
        program = ProcessHandle.of(Long.parseLong(pid)).orElseThrow(() -> new IOException(role + " ended at once"));
        running = true;
        killed = false;
    }

    /** The command of a role in the deploy file. */
    private static List<String> commandOf(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(command.replaceFirst("^exec ", "").split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no role " + role);
    }

    /** When it was started last, in steady time. */
    public long startedAtNs() {
        return startedAtNs;
    }

    /** Whether it runs. */
    public boolean running() {
        return running && program.isAlive();
    }

    /** Whether it is down because the laboratory killed it. */
    boolean killed() {
        return killed;
    }

    /** What it said last. */
    public String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    /** The end of its log. */
    public List<String> lastLogLines(int most) throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.subList(Math.max(0, lines.size() - most), lines.size());
    }

    /** What it has used so far. */
    public ProcessUsage usage() {
        return ProcessUsage.of(program.pid());
    }

    /** As a loss of power: at once and without a word. */
    public void kill() throws InterruptedException {
        running = false;
        killed = true;
        program.destroyForcibly();
        guard.destroy();
        guard.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Asks it to end, as for planned work. */
    public void terminate() {
        running = false;
        program.destroy();
    }

    /** Stops it where it stands; it goes on with {@link #thaw}. */
    public void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(program.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the program has ended; returns whether it has. */
    public boolean awaitEnd() {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(EXIT_SECONDS);
        while (program != null && program.isAlive() && System.nanoTime() < endNs) {
            // No wait for its exit: it is the guard's child, and the JDK looks at others' children only seldom.
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
        try (OutputStream end = guard.getOutputStream()) {
            end.flush();
        } catch (IOException e) {
            guard.destroy();
        }
    }
}
