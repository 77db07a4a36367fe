import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound searcher of a plain service: answers requests after a fixed time, and calls the control plane. */
final class Searcher implements AutoCloseable {
    /** One request that was run. */
    record Run(String id, double at, int bytes) {}

    final String id;
    final String service;
    final String ip;
    final int port = 8649;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    volatile int workMs = 20;
    volatile int answerBytes = 800;
    volatile boolean beats = true;
    volatile boolean leaving;
    /** Stage of a model searcher; empty for a plain one. */
    volatile String stage = "";
    /** Length of the bytes that are no event in the next streams, which are broken off after them; 0 for sound streams. */
    volatile int garbledBytes;
    private final Fleet fleet;
    private final String zone;
    private final ServerSocket listener;
    private final AtomicInteger sequence = new AtomicInteger();
    private int next;

    Searcher(Fleet fleet, String id, String service, String ip, String zone) throws IOException {
        this(fleet, id, service, ip, zone, "");
    }

    Searcher(Fleet fleet, String id, String service, String ip, String zone, String stage) throws IOException {
        this.stage = stage;
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.zone = zone;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        thread("searcher " + id, this::accept);
        thread("beats " + id, this::beat);
    }

    static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    int nextSequence() {
        return sequence.incrementAndGet();
    }

    byte[] heartbeat(String state, int callSequence) {
        return ("{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                        + "\",\"cold_remaining_ms\":0," + model() + "\"call_sequence\":" + callSequence + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private String model() {
        return stage.isEmpty()
                ? ""
                : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
    }

    /** Calls one controller after the other until one acknowledges; returns whether one did within the time. */
    boolean call(String path, byte[] body, double seconds) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            Fleet.Node controller = fleet.controllers.get(next % fleet.controllers.size());
            try {
                int status = Http.call(
                                controller.ip, Fleet.CONTROL_PORT, "POST", "/instances/" + id + path,
                                List.of("Content-Type: application/json"), body, 1_000)
                        .status();
                if (status / 100 == 2) {
                    return true;
                }
            } catch (IOException e) {
                // the next controller
            }
            next++;
            pause(50);
        }
        return false;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void beat() {
        while (!listener.isClosed()) {
            if (beats) {
                call("/heartbeat", heartbeat("ready", nextSequence()), 1.2);
            }
            pause(1_200);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread("connection " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Http.readBody(in, head.headers(), body);
                boolean closes = leaving;
                answer(head, body.size(), out);
                if (closes) {
                    return;
                }
            }
        } catch (IOException e) {
            // the caller closed its connection
        }
    }

    private void answer(Http.Head head, int bodyBytes, OutputStream out) throws IOException {
        String[] line = head.line().split(" ");
        if (line[1].equals("/report")) {
            write(out, 200, "Content-Type: application/json\r\n", ("{" + (stage.isEmpty() ? "\"stage\":\"\",\"models\":[]," : model()) + "\"busy\":false,"
                            + "\"call_sequence\":" + sequence.get()
                            + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":0,\"prefill_handles\":0}")
                    .getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (line[0].equals("GET")) {
            write(out, leaving ? 503 : 200, "X-Pinewick-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        String requestId = head.headers().getOrDefault("x-pinewick-request-id", "");
        String answerHead = "X-Pinewick-Request-Id: " + requestId + "\r\nX-Pinewick-Server-Signature: " + id + "."
                + requestId + (leaving ? "\r\nConnection: close\r\n" : "\r\nKeep-Alive: timeout=15\r\n");
        String expected = head.headers().getOrDefault("x-pinewick-expected-instance", id);
        if (!expected.equals(id)) {
            write(out, 421, answerHead + "X-Pinewick-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        runs.add(new Run(requestId, fleet.record.now(), bodyBytes));
        fleet.record.line("run " + requestId + " at " + id);
        pause(workMs);
        if (stage.isEmpty()) {
            write(out, 200, answerHead, new byte[answerBytes]);
        } else {
            stream(out, requestId, answerHead);
        }
    }

    /** Four events 20 ms apart; or one, then bytes that are no event, then a break. */
    private void stream(OutputStream out, String requestId, String answerHead) throws IOException {
        out.write(("HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\nVersions: 1\r\n" + answerHead
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        int garbled = garbledBytes;
        for (int event = 1; event <= 4; event++) {
            if (garbled > 0 && event == 2) {
                fleet.record.line("stream " + requestId + " at " + id + " goes on with " + garbled
                        + " bytes that are no event, and breaks off");
                byte[] junk = new byte[16_384];
                java.util.Arrays.fill(junk, (byte) 'x');
                for (int sent = 0; sent < garbled; sent += junk.length) {
                    chunk(out, junk);
                }
                throw new IOException("broken off");
            }
            chunk(out, ("id: " + event + "\ndata: " + "t".repeat(70) + "\n\n").getBytes(StandardCharsets.UTF_8));
            pause(20);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void chunk(OutputStream out, byte[] bytes) throws IOException {
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
