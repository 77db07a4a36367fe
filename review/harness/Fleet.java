import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: controllers and routers as the processes of the deploy file, each on a loopback
 * address of its own. Bounds are those of the site file gare-padane.
 */
final class Fleet implements AutoCloseable {
    static final int CONTROL_PORT = 8166;
    static final int FRONT_PORT = 8161;
    static final int READY_PORT = 8167;

    final Record record;
    final Path folder;
    final int network;
    final List<Node> controllers = new ArrayList<>();
    final List<Node> routers = new ArrayList<>();
    String extraBounds = "";
    private boolean first = true;
    private final Map<String, String> runLines = new TreeMap<>();

    /** One process of the fleet. */
    final class Node {
        final String name;
        final String role;
        final String ip;
        final String zone;
        Process process;

        Node(String name, String role, String ip, String zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
        }

        void start() throws IOException {
            Path file = folder.resolve(name + ".toml");
            Files.writeString(file, settings(this));
            ProcessBuilder builder = new ProcessBuilder(runLines.get(role).split(" "));
            builder.environment().put("PINEWICK_CONFIG", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line("start " + name + " at " + ip);
        }

        void kill() {
            record.line("SIGKILL " + name);
            process.destroyForcibly();
        }

        void terminate() {
            record.line("SIGTERM " + name);
            process.destroy();
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.line("SIG" + signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return Http.call(ip, READY_PORT, "GET", "/ready", List.of(), new byte[0], 500).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    Fleet(Record record, int controllerCount, int routerCount) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-fleet");
        network = freeNetwork();
        readRunLines();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        String[] zones = {"sala-mi", "sala-bs", "sala-pc"};
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new Node("core-" + (i + 1), "controller", ip(10 + i), zones[i % 3]));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Node("frontend-" + (i + 1), "router", ip(30 + i), zones[i % 3]));
        }
    }

    String ip(int host) {
        return "127." + (network >> 8) + "." + (network & 255) + "." + host;
    }

    /** A loopback network on whose first controller address the control port is free. */
    private static int freeNetwork() throws IOException {
        int start = (int) (ProcessHandle.current().pid() % 20_000) + 20_000;
        for (int network = start; network < start + 500; network++) {
            try (ServerSocket probe = new ServerSocket()) {
                String ip = "127." + (network >> 8) + "." + (network & 255) + ".10";
                probe.bind(new InetSocketAddress(InetAddress.getByName(ip), CONTROL_PORT));
                return network;
            } catch (IOException e) {
                // taken: the next one
            }
        }
        throw new IOException("no free loopback network");
    }

    private void readRunLines() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.length() - 1);
            } else if (line.startsWith("run = \"")) {
                runLines.put(role, line.substring("run = \"".length(), line.length() - 1));
            }
        }
    }

    private String settings(Node node) throws IOException {
        boolean front = node.role.equals("router");
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"").append(node.name).append("\"\n");
        text.append("role = \"").append(node.role).append("\"\n");
        text.append("machine_class = \"").append(front ? "frontend" : "core").append("\"\n");
        text.append("serves = [\"").append(front ? "frontend" : "control_plane").append("\"]\n");
        text.append("ip_address = \"").append(node.ip).append("\"\n");
        text.append("zone = \"").append(node.zone).append("\"\nregion = \"pianura\"\n");
        text.append("internal_port_range = [7720,7735]\nseed_nodes = [");
        for (int i = 0; i < Math.min(3, controllers.size()); i++) {
            text.append(i == 0 ? "" : ",").append('"').append(controllers.get(i).ip).append(":8166\"");
        }
        text.append("]\nfirst_start = ").append(first).append("\ncounts_for_quorum = ").append(!front).append('\n');
        text.append("discovery = \"registration\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n");
        if (!front) {
            Path data = Files.createDirectories(folder.resolve(node.name + "-data"));
            text.append("data_directory = \"").append(data).append("\"\n");
        }
        text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",")
                .append("\"engine\"]\n");
        text.append("[zones]\nsala-mi = \"pianura\"\nsala-bs = \"pianura\"\nsala-pc = \"pianura\"\n");
        text.append("[listen_addresses]\n");
        if (front) {
            text.append("frontend = \"").append(node.ip).append(":8161\"\n");
            text.append("readiness = \"").append(node.ip).append(":8167\"\n");
        } else {
            text.append("control_plane = \"").append(node.ip).append(":8166\"\n");
        }
        text.append("[limits]\ncpu_share = ").append(front ? "0.75" : "0.9").append("\ncpu_cores = ");
        text.append(front ? 1 : 2).append("\nmemory_mb = ").append(front ? 430 : 426);
        text.append("\nfile_descriptors = 4100\nlink_bandwidth_mbps = 1000.0\ndisk_mb = ").append(front ? 0 : 128);
        text.append("\n[fault_tolerance]\nmachines = ").append(controllers.size() / 3).append("\nzones = 0\nregions = 0\n[bounds]\n");
        text.append("seed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n");
        text.append("drain_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n");
        text.append("rollback_slack_ms = 250\nmax_stretch_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n");
        text.append("retry_budget_slack = 58\nrecovery_s = 12\ntransit_ms = 120\nagain_s = 4.6\n");
        text.append("fencing_enabled = false\nlease_ms = 3000\nthaw_slack_ms = 300\n").append(extraBounds);
        return text.toString();
    }

    void startAll() throws IOException {
        for (Node node : controllers) {
            node.start();
        }
        for (Node node : routers) {
            node.start();
        }
        first = false;
    }

    boolean awaitReady(double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (routers.stream().allMatch(Node::isReady)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** The operator: sends a configuration to one controller after the other until an answer is clear. */
    int configure(String path, long base, byte[] body, double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        int next = 0;
        List<String> headers = List.of("X-Pinewick-Base-Version: " + base, "Content-Type: application/json");
        int timeoutMs = 1_000 + body.length / 1_000;
        while (System.nanoTime() < end) {
            String host = controllers.get(next++ % controllers.size()).ip;
            try {
                Http.Answer answer = Http.call(host, CONTROL_PORT, "POST", path, headers, body, timeoutMs);
                for (int hop = 0; hop < 2 && answer.status() == 307; hop++) {
                    String location = answer.header("location").replace("http://", "");
                    String target = location.substring(0, location.indexOf(':'));
                    answer = Http.call(target, CONTROL_PORT, "POST", path, headers, body, timeoutMs);
                }
                if (answer.status() == 200 || answer.status() / 100 == 4 && answer.status() != 408) {
                    return answer.status();
                }
            } catch (IOException e) {
                // no clear answer: the next controller
            }
            Thread.sleep(100);
        }
        return 0;
    }

    /** Ends what is left of the fleet, also when this program is stopped. */
    private void killAll() {
        for (Node node : nodes()) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
    }

    List<Node> nodes() {
        List<Node> all = new ArrayList<>(controllers);
        all.addAll(routers);
        return all;
    }

    @Override
    public void close() throws IOException {
        killAll();
        List<Node> all = nodes();
        for (Node node : all) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** What was sent, answered and run, with the time since the start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        }

        double now() {
            return (System.nanoTime() - startNanos) / 1e9;
        }

        synchronized void line(String text) {
            out.printf("%8.3f  %s%n", now(), text);
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }
}
