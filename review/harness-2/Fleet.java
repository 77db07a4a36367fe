import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment of the router fleet on loopback: controllers at 127.0.11.x, routers at 127.0.12.x, all with the
 * same ports, started as separate processes with the `run` lines of deploy/system.toml.
 */
final class Fleet implements AutoCloseable {
    static final int INTERNAL = 0;
    static final int CONTROL_PLANE = 2;
    static final int FRONTEND = 3;
    static final int READINESS = 4;
    static final int REPLICA = 5;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final int port;
    final int controllers;
    final int routers;
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Record record;
    private final String extraBounds;
    private volatile boolean closed;

    Fleet(Record record, int controllers, int routers, String extraBounds) throws IOException {
        this.record = record;
        this.controllers = controllers;
        this.routers = routers;
        this.extraBounds = extraBounds;
        this.folder = Files.createTempDirectory("pinewick-review");
        this.port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static int freePorts() {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + 10 * random.nextInt(1_200);
            if (java.util.stream.IntStream.range(0, 6).allMatch(offset -> isFree(first + offset))) {
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean isFree(int candidate) {
        InetSocketAddress any = new InetSocketAddress("0.0.0.0", candidate);
        try (DatagramSocket datagrams = new DatagramSocket(any);
                ServerSocket server = new ServerSocket()) {
            server.bind(any);
            return datagrams.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    String controllerHost(int index) {
        return "127.0.11." + (1 + index);
    }

    String routerHost(int index) {
        return "127.0.12." + (1 + index);
    }

    InetSocketAddress controlPlane(int index) {
        return new InetSocketAddress(controllerHost(index), port + CONTROL_PLANE);
    }

    InetSocketAddress frontend(int index) {
        return new InetSocketAddress(routerHost(index), port + FRONTEND);
    }

    private String commonSettings(String name, String role, String host, boolean firstStart) {
        StringBuilder seeds = new StringBuilder();
        for (int index = 0; index < Math.min(3, controllers); index++) {
            seeds.append(index == 0 ? "" : ",")
                    .append('"').append(controllerHost(index)).append(':').append(port + CONTROL_PLANE).append('"');
        }
        return "node_name = \"" + name + "\"\nrole = \"" + role + "\"\nip_address = \"" + host + "\"\n"
                + "zone = \"sala-mi\"\nregion = \"pianura\"\n"
                + "internal_port_range = [" + port + "," + (port + 1) + "]\n"
                + "seed_nodes = [" + seeds + "]\nfirst_start = " + firstStart + "\n"
                + "discovery = \"registration\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n";
    }

    private String tables(boolean disk) {
        return "[zones]\nsala-mi = \"pianura\"\n"
                + "[limits]\ncpu_share = 0.75\ncpu_cores = 1\nmemory_mb = 430\nfile_descriptors = 4100\n"
                + "link_bandwidth_mbps = 1000.0\ndisk_mb = " + (disk ? 128 : 0) + "\n"
                + "[fault_tolerance]\nmachines = " + (controllers >= 3 ? 1 : 0) + "\nzones = 0\nregions = 0\n"
                + "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
                + "drain_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
                + "rollback_slack_ms = 250\nmax_stretch_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n"
                + "retry_budget_slack = 58\nrecovery_s = 12\ntransit_ms = 120\nagain_s = 4.6\nfencing_enabled = false\n"
                + "lease_ms = 3000\nthaw_slack_ms = 300\n" + extraBounds;
    }

    void startController(int index, boolean firstStart) throws IOException {
        Path data = Files.createDirectories(folder.resolve("core-" + index));
        String host = controllerHost(index);
        start("core-" + (index + 1), "controller",
                commonSettings("core-" + (index + 1), "controller", host, firstStart)
                        + "machine_class = \"core\"\nserves = [\"control_plane\"]\ncounts_for_quorum = true\n"
                        + "data_directory = \"" + data + "\"\n" + tables(true)
                        + "[listen_addresses]\ncontrol_plane = \"" + host + ":" + (port + CONTROL_PLANE) + "\"\n");
    }

    void startRouter(int index, boolean firstStart) throws IOException {
        String host = routerHost(index);
        start("front-" + (index + 1), "router",
                commonSettings("front-" + (index + 1), "router", host, firstStart)
                        + "machine_class = \"frontend\"\nserves = [\"frontend\"]\ncounts_for_quorum = false\n"
                        + tables(false)
                        + "[listen_addresses]\nfrontend = \"" + host + ":" + (port + FRONTEND) + "\"\n"
                        + "readiness = \"" + host + ":" + (port + READINESS) + "\"\n");
    }

    /** Starts one process with the `run` line of its role. */
    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(runLine(role).split(" +"));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("PINEWICK_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.resolve(name + ".log").toString())));
        Process process = builder.start();
        processes.put(name, process);
        record.add(name + " started, process " + process.pid());
        process.onExit().thenAccept(ended -> record.add(name + " ended, exit code " + ended.exitValue()));
    }

    private String runLine(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run line for " + role);
    }

    void startAll() throws IOException {
        for (int index = 0; index < controllers; index++) {
            startController(index, true);
        }
        for (int index = 0; index < routers; index++) {
            startRouter(index, true);
        }
    }

    /** Starts a process. */
    interface Starter {
        void start() throws IOException;
    }

    /** Starts the process again a short time after it has ended by itself, as the platform does. */
    void restart(String name, Starter starter) {
        processes.get(name).onExit().thenAccept(ended -> {
            try {
                Thread.sleep(500);
                if (!closed) {
                    starter.start();
                    restart(name, starter);
                }
            } catch (IOException | InterruptedException e) {
                record.add(name + " was not started again: " + e);
            }
        });
    }

    /** Sends a signal (STOP, CONT, KILL, TERM) to a process of this fleet. */
    void signal(String name, String signal) throws Exception {
        record.add("SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
    }

    boolean isRunning(String name) {
        return processes.get(name).isAlive();
    }

    /** Sends a whole configuration until it is acknowledged. */
    void configure(String json, long base) throws Exception {
        call("/config/replace", json, "X-Pinewick-Base-Version: " + base + "\r\n", 30_000);
    }

    /** Calls any controller until one answers 200; follows redirections by trying the next one. */
    String call(String path, String json, String headers, long forMs) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs);
        for (int turn = 0; System.nanoTime() < until; turn++) {
            String[] answer = callOnce(turn % controllers, path, json, headers);
            if (answer != null && answer[0].equals("200")) {
                return answer[1];
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("no controller acknowledged " + path);
    }

    /** One call to one controller: status and body, or null if there was no answer. */
    String[] callOnce(int controller, String path, String json, String headers) {
        try (Socket socket = new Socket()) {
            socket.connect(controlPlane(controller), 1_000);
            socket.setSoTimeout(1_500);
            byte[] body = json == null ? new byte[0] : json.getBytes(StandardCharsets.UTF_8);
            String head = (json == null ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: "
                    + controllerHost(controller) + "\r\nConnection: close\r\n" + headers
                    + (json == null ? "" : "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n")
                    + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(all);
            String text = all.toString(StandardCharsets.UTF_8);
            if (text.length() < 12) {
                return null;
            }
            int end = text.indexOf("\r\n\r\n");
            return new String[] {text.substring(9, 12), end < 0 ? "" : text.substring(end + 4)};
        } catch (IOException e) {
            return null;
        }
    }

    boolean isReady(int router) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(routerHost(router), port + READINESS), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(
                    ("GET /ready HTTP/1.1\r\nHost: " + routerHost(router) + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start, StandardCharsets.ISO_8859_1).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long forMs) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs);
        for (int index = 0; index < routers; index++) {
            while (!isReady(index)) {
                if (System.nanoTime() > until) {
                    throw new IllegalStateException("router " + (index + 1) + " is not ready");
                }
                Thread.sleep(50);
            }
        }
    }

    /** The last lines of a process's log. */
    List<String> log(String name) throws IOException {
        Path file = folder.resolve(name + ".log");
        return Files.exists(file) ? Files.readAllLines(file, StandardCharsets.ISO_8859_1) : new ArrayList<>();
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
        }
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (System.getenv("KEEP") == null && Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                System.err.println("temporary files not removed: " + e);
            }
        }
    }
}
