package pinewick.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A query router that runs as a separate process on loopback, optionally with an operator configuration file. */
public final class QueryRouterProcess implements AutoCloseable {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    private final Path jar;
    private final Path folder;
    private final Path operator;
    private final String categories;
    private final int cells;
    private final String knownReplicas;
    private final int port;
    private Process process;
    private int startCount;

    /**
     * @param jar the packaged program; null to run from the class path of this process
     * @param categories the service classes, as JSON objects separated by commas
     */
    public QueryRouterProcess(Path jar, Path folder, Path operator, String categories, int cells) throws IOException {
        this(jar, folder, operator, categories, cells, "", "", 2, 0);
    }

    /**
     * One of several routers.
     *
     * @param operator the operator configuration file; null for none
     * @param knownReplicas the replicas known at the start, as JSON objects separated by commas
     * @param peers the configuration fields that list the peers, each followed by a comma; empty for none
     * @param instances number of routers given in the settings
     * @param self index of this router among them
     */
    public QueryRouterProcess(
            Path jar,
            Path folder,
            Path operator,
            String categories,
            int cells,
            String knownReplicas,
            String peers,
            int instances,
            int self)
            throws IOException {
        this.categories = categories;
        this.cells = cells;
        this.knownReplicas = knownReplicas;
        this.jar = jar;
        this.folder = folder;
        this.operator = operator;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        configure(peers, instances, self);
    }

    /** Writes a new configuration, for the next start or {@code reload}. */
    public void configure(String peers, int instances, int self) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                "{" + peers + "\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"sockets\":1024},"
                        + "\"known\":{\"revision\":0,\"complete\":true,\"members\":[" + knownReplicas
                        + "]},\"settings\":{\"instances\":" + instances
                        + ",\"self-index\":" + self + ","
                        + "\"granularity-ns\":5e6,\"categories\":[" + categories + "],\"bounds\":{\"peers\":"
                        + !peers.isEmpty() + ",\"multiplex\":100,\"try-limit\":4,"
                        + "\"max-open\":2000,\"conn-idle-ns\":15e9,\"dial-timeout-ns\":250e6},"
                        + "\"family-info\":{\"cells\":"
                        + cells
                        + ",\"reach\":1,\"slabs\":" + cells + ",\"per-call\":16}}}");
    }

    public int port() {
        return port;
    }

    public void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-XX:+UseSerialGC"));
        command.addAll(
                jar == null
                        ? List.of("-cp", System.getProperty("java.class.path"), "pinewick.Main")
                        : List.of("-jar", jar.toAbsolutePath().toString()));
        command.addAll(operator == null ? List.of("serve") : List.of("serve", "--operator", operator.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log-" + ++startCount + ".txt").toFile());
        process = builder.start();
    }

    /** Waits until the router is ready. Returns false if it is not within this many seconds. */
    public boolean awaitReady(double seconds) throws InterruptedException {
        double deadline = StandinReplicas.clock() + seconds;
        while (StandinReplicas.clock() < deadline) {
            if ("ready\n".equals(get("/health/ready"))) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    /** The body of a 200 response; null if there was no such response. */
    public String get(String path) throws InterruptedException {
        try {
            HttpResponse<String> response = CLIENT.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                            .timeout(Duration.ofSeconds(2))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? response.body() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Queries each shard for one part. Returns the status, 0 without a response, -1 without a connection. */
    public int query(String id, String serviceClass, int shards, double seconds) throws InterruptedException {
        StringBuilder body = new StringBuilder("{\"slices\":[");
        for (int shard = 0; shard < shards; shard++) {
            body.append(shard == 0 ? "" : ",")
                    .append("{\"slice\":")
                    .append(shard)
                    .append(",\"mass\":")
                    .append(1.0 / shards)
                    .append('}');
        }
        try {
            return CLIENT.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api"))
                                    .timeout(Duration.ofMillis(Math.round(seconds * 1e3) + 500))
                                    .header("Req-Id", id)
                                    .header("Req-Kind", serviceClass)
                                    .header("Req-Deadline", Double.toString(seconds))
                                    .POST(HttpRequest.BodyPublishers.ofString(body + "],\"filter\":\"f\"}"))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (java.net.ConnectException e) {
            return -1;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends the process a signal by name, such as HUP, STOP or CONT. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Stops the process: gracefully with SIGTERM, or at once. */
    public void stop(boolean graceful) throws InterruptedException {
        if (process != null) {
            if (graceful) {
                process.destroy();
            } else {
                process.destroyForcibly();
            }
            if (!process.waitFor(6, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    public Path log() {
        return folder.resolve("log-" + startCount + ".txt");
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
