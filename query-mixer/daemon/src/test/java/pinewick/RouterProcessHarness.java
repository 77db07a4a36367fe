package pinewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the complete program as a process, with in-process fakes of the replicas, the clients and the discovery service.
 */
@Timeout(60)
abstract class RouterProcessHarness {
    static final int WAIT_SECONDS = 20;

    @TempDir
    Path folder;

    final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    FakeDiscovery discovery;
    Process router;
    int port;
    int sockets = 1024;
    /** Descriptor limit of the router process, including its own files; 0 for the default of this machine. */
    int maxDescriptors;

    String goalNs = "1e9";
    String classFloor = "1";
    String dedupWindowNs = "2e9";
    String connectTimeoutNs = "25e7";
    String deadlineSeconds = "2.5";
    /** Hard limit of a query in the deployment, nanoseconds. */
    String hardLimitNs = "3e9";

    ProcessBuilder.Redirect log = ProcessBuilder.Redirect.INHERIT;
    /** Replica entries in the router's configuration. */
    String[] knownEntries = {};

    @BeforeEach
    void openDiscovery() throws IOException {
        discovery = new FakeDiscovery();
    }

    @AfterEach
    void close() throws Exception {
        if (router != null) {
            router.destroyForcibly().waitFor();
        }
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    final void sendSighup() throws Exception {
        SighupPrecondition.check();
        assertEquals(
                0, new ProcessBuilder("kill", "-HUP", "" + router.pid()).start().waitFor());
        Thread.sleep(150);
    }

    /** Sends the router a signal by name. */
    final void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + router.pid())
                        .start()
                        .waitFor());
    }

    /** Starts a router and waits until it is ready and watches the list. */
    void start(FakeReplica... replicas) throws Exception {
        discovery.watchRequests.clear();
        launch(replicas);
        awaitReady();
        await(new Client(), "list-pieces 2\n");
        assertNotNull(discovery.watchRequests.poll(WAIT_SECONDS, TimeUnit.SECONDS), "the router watches the list");
    }

    /** Starts a router without waiting for it. */
    void launch(FakeReplica... replicas) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String[] entries = new String[replicas.length];
        for (int each = 0; each < entries.length; each++) {
            entries[each] = replicas[each].entry("ready");
        }
        discovery.revision = 4;
        String before = listUpdate(true, knownEntries);
        discovery.revision = 5;
        discovery.list = listUpdate(true, entries);
        String serviceClass = "{\"name\":\"%s\",\"slo-ns\":" + goalNs + ",\"hard-limit-ns\":" + hardLimitNs
                + ",\"late-worth\":0," + "\"effect\":\"%s\",\"dedup-window-ns\":" + dedupWindowNs + "}";
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                "{\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "},\"known\":"
                        + before
                        + ",\"settings\":{\"instances\":1,\"categories\":["
                        + String.format(serviceClass, "idempotent", "retryable") + ','
                        + String.format(serviceClass, "deduplicated", "dedup") + ','
                        + String.format(serviceClass, "unrepeatable", "fragile")
                        + "],\"bounds\":{\"multiplex\":100,\"try-limit\":4,\"parallel-tries\":true,"
                        + "\"may-cancel\":true,\"probing\":"
                        + "true,\"max-open\":1000,\"dial-timeout-ns\":" + connectTimeoutNs + "},"
                        + "\"family-info\":{\"cells\":2,\"reach\":1,\"slabs\":4,\"per-call\":4,"
                        + "\"class-floor\":[" + classFloor + ",1,1],\"incomplete-worth\":[0.9,0,0]}}}");
        router = program(file).redirectError(log).start();
    }

    void awaitReady() throws Exception {
        while (true) {
            try (Client client = new Client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
                if (client.readResponse().startsWith("200")) {
                    break;
                }
            } catch (IOException notYet) {
                assertTrue(router.isAlive(), "the router process exited");
            }
            Thread.sleep(20);
        }
    }

    ProcessBuilder program(Path config) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "pinewick.Main",
                "serve"));
        if (maxDescriptors > 0) {
            command.addAll(0, List.of("/bin/sh", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "sh"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", config.toString());
        return builder;
    }

    /** Polls the counters until they contain this line; bounded by the timeout of the test. */
    static void await(Client client, String line) throws Exception {
        while (!client.get("/counters").contains(line)) {
            Thread.sleep(10);
        }
    }

    interface Condition {
        boolean isTrue() throws Exception;
    }

    /** Polls the condition until it holds; bounded by the timeout of the test. */
    static void await(Condition condition) throws Exception {
        while (!condition.isTrue()) {
            Thread.sleep(10);
        }
    }

    String listUpdate(boolean whole, String... entries) {
        return "{\"revision\":" + discovery.revision + ",\"complete\":" + whole + ",\"members\":["
                + String.join(",", entries) + "]}";
    }

    ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(server);
        return server;
    }

    interface Work {
        void run() throws Exception;
    }

    static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception over) {
                // The peer has closed or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A fake discovery service: answers a watch with the list and then with every update, on the newest watch; sends a
     * heartbeat line every second.
     */
    final class FakeDiscovery {
        ServerSocket server = listen();
        final int discoveryPort = server.getLocalPort();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        final BlockingQueue<String> watchRequests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> fullListRequests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> endedWatches = new LinkedBlockingQueue<>();
        final BlockingQueue<String> release = new LinkedBlockingQueue<>();
        volatile long revision;
        volatile String list = "";
        /** If set, open and new watches get neither heartbeats nor updates. */
        volatile boolean isSilent;
        /** If set, each full list waits for an element in {@link #release}. */
        volatile boolean holdsResponses;
        /** Number of full lists that are sent without a length and reset after their last byte. */
        final AtomicInteger resetResponses = new AtomicInteger();
        /** Sent on each new watch in place of the list; null to send the list. */
        volatile String invalidWatchResponse;

        private volatile OutputStream watch;

        FakeDiscovery() throws IOException {
            thread(this::acceptAll);
            thread(() -> {
                while (true) {
                    if (watch != null && !isSilent) {
                        try {
                            chunk("\n");
                        } catch (IOException left) {
                            watch = null;
                        }
                    }
                    TimeUnit.SECONDS.sleep(1);
                }
            });
        }

        private void acceptAll() throws IOException {
            while (true) {
                Socket socket = server.accept();
                open.add(socket);
                sockets.add(socket);
                thread(() -> serve(socket));
            }
        }

        /** Resets every connection. */
        void resetAll() throws IOException {
            for (Socket each : sockets) {
                each.setSoLinger(true, 0);
                each.close();
            }
        }

        /** Listens again on the same port, after the server was closed, and serves this list. */
        void restart(String newList) throws IOException {
            server = new ServerSocket();
            open.add(server);
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), discoveryPort));
            list = newList;
            isSilent = false;
            thread(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + discoveryPort;
        }

        private void serve(Socket socket) throws Exception {
            String request = head(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            if (request.contains("stream=1")) {
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                watch = out;
                if (invalidWatchResponse != null) {
                    sendUpdate(invalidWatchResponse);
                } else if (!isSilent && !request.contains("index=" + revision + " ")) {
                    sendUpdate(list);
                }
                watchRequests.add(request);
                try {
                    int more = 0;
                    while (more >= 0) {
                        more = socket.getInputStream().read();
                    }
                } finally {
                    endedWatches.add("ended"); // also after a reset
                }
            } else {
                fullListRequests.add(request);
                if (holdsResponses) {
                    release.take();
                }
                if (resetResponses.get() > 0) {
                    resetResponses.decrementAndGet();
                    out.write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list).getBytes(StandardCharsets.UTF_8));
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.UTF_8));
            }
        }

        void sendUpdate(String line) throws IOException {
            chunk(line + "\n");
        }

        synchronized void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            watch.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            watch.flush();
        }
    }

    /** A fake replica that speaks the frame protocol; its behaviour names what it does with a part. */
    final class FakeReplica {
        final String id;
        final int cell;
        final String behaviour;
        final ServerSocket server;
        final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        final BlockingQueue<String> release = new LinkedBlockingQueue<>();

        FakeReplica(String id, int cell, String behaviour) throws IOException {
            this.id = id;
            this.cell = cell;
            this.behaviour = behaviour;
            server = behaviour.equals("late") ? new ServerSocket(0, 1, InetAddress.getLoopbackAddress()) : listen();
            open.add(server);
            thread(() -> {
                if (behaviour.equals("late")) {
                    release.take();
                }
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    thread(() -> {
                        try {
                            serve(socket);
                        } finally {
                            ended.add("ended");
                        }
                    });
                }
            });
        }

        String entry(String phase) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + server.getLocalPort()
                    + "\",\"locality\":\"z\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"up_since_ms\":0}";
        }

        private void serve(Socket socket) throws Exception {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                String text = new String(frame, StandardCharsets.UTF_8);
                if (text.charAt(0) == '4') {
                    write(socket, "4-");
                } else if (text.charAt(0) == '1') {
                    frames.add(text);
                    parts(socket, text.substring(1));
                }
            }
        }

        private void parts(Socket socket, String text) throws Exception {
            String[] lines = text.split("\n");
            for (int each = 0; each < lines.length; each++) {
                String left = each == 0 ? lines[0] : lines[each].substring("t\u00e9".length());
                if (left.isEmpty()) {
                    continue;
                }
                String part = left.split(" ")[0];
                switch (behaviour) {
                    case "answer", "late" -> write(socket, "5" + part + " S 1 queue=0,qps=1.5\n" + id + "." + part);
                    case "reset" -> socket.close();
                    case "garbage" -> write(socket, "5nothing");
                    case "huge" -> socket.getOutputStream().write(new byte[] {0, 0, 0, 127, '5'});
                    case "letter" -> write(socket, "Z" + part + " S 1 -\nvalue");
                    case "end" -> write(socket, "5" + part + " Q 1 -\nvalue");
                    case "line" -> write(socket, "5" + part + " S 1 -");
                    case "empty" -> write(socket, "5" + part + " S 1 -\n");
                    case "control" -> write(socket, "5" + part + " S 1 -\n\u0001\u0002");
                    case "short" -> socket.getOutputStream()
                            .write(("\200\0\0\0005" + part + " S 1 -\nval").getBytes(StandardCharsets.ISO_8859_1));
                    case "3GB" -> socket.getOutputStream()
                            .write(("\0\0\0\2605" + part + " S 1 -\nvalue").getBytes(StandardCharsets.ISO_8859_1));
                    case "again" -> {
                        if (part.startsWith("second")) {
                            write(socket, "5first.0 S 1 -\nvalue");
                        }
                        write(socket, "5" + part + " S 1 -\nvalue");
                    }
                    case "twice", "report", "noise" -> {
                        write(
                                socket,
                                "5" + part + " S 1 " + (behaviour.equals("report") ? "queue=%%%" : "queue=0")
                                        + "\nvalue");
                        if (behaviour.equals("twice")) {
                            write(socket, "5" + part + " S 1 -\nvalue");
                        } else if (behaviour.equals("noise")) {
                            socket.getOutputStream().write("noise".getBytes(StandardCharsets.UTF_8));
                        }
                    }
                    case "stranger" -> write(socket, "5" + part + "9 S 1 -\nvalue");
                    case "X" -> write(socket, "Xno such frame");
                    case "held" -> {
                        release.take();
                        write(socket, "5" + part + " S 1 -\nvalue");
                    }
                    default -> {}
                }
            }
        }

        private void write(Socket socket, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int each = 0; each < 4; each++) {
                all.write(bytes.length >> (8 * each));
            }
            all.writeBytes(bytes);
            socket.getOutputStream().write(all.toByteArray());
        }
    }

    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int one = in.read();
            if (one < 0) {
                return head.toString();
            }
            head.append((char) one);
        }
        return head.toString();
    }

    /** A client with one connection. */
    final class Client implements AutoCloseable {
        private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);

        /** Sent after the next request, in the same write. */
        String pipelined = "";

        Client() throws IOException {
            socket.setSoTimeout(WAIT_SECONDS * 1000);
            open.add(socket);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void post(String id, String kind, String shards, String more, boolean chunked) throws IOException {
            String[] each = shards.replaceAll("[\\[\\]]", "").split(",");
            StringBuilder body = new StringBuilder("{\"slices\":[");
            for (int at = 0; at < each.length; at++) {
                body.append(at == 0 ? "" : ",")
                        .append("{\"slice\":")
                        .append(each[at])
                        .append(",\"mass\":")
                        .append(1.0 / each.length)
                        .append(",\"micros\":9000,\"term\":\"00\"}");
            }
            String text = body.append("],\"filter\":\"t\u00e9\"}").toString();
            int length = text.getBytes(StandardCharsets.UTF_8).length;
            send("POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline: "
                    + deadlineSeconds
                    + "\r\n" + more
                    + (chunked
                            ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length) + "\r\n" + text
                                    + "\r\n0\r\n\r\n"
                            : "Content-Length: " + length + "\r\n\r\n" + text)
                    + pipelined);
        }

        /** Reads a response: status, blank, body; empty if the connection ended instead. */
        String readResponse() throws IOException {
            String head;
            try {
                head = head(socket.getInputStream());
            } catch (SocketException reset) {
                return "";
            }
            if (!head.contains("\r\n\r\n")) {
                return "";
            }
            int length = 0;
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            byte[] body = socket.getInputStream().readNBytes(length);
            return head.substring(9, 12) + " " + new String(body, StandardCharsets.UTF_8);
        }

        /** How the connection ended, if nothing more was received: by end of stream or by a reset. */
        String readEnd() throws IOException {
            try {
                return socket.getInputStream().read() < 0 ? "end" : "more";
            } catch (SocketException broken) {
                return "reset";
            }
        }

        String get(String path) throws IOException {
            return get(path, "200");
        }

        String get(String path, String status) throws IOException {
            send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
            String response = readResponse();
            assertTrue(response.startsWith(status + " "), response);
            return response.substring(4);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
