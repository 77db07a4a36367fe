package pinewick.dataplane;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import pinewick.model.SocketAddress;

/** A replica that misbehaves by chance in each way the protocol tells of, and notes what it runs. */
final class MisbehavingReplica implements AutoCloseable {
    static final int EVENTS = 6;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final Map<String, AtomicInteger> runs;
    private final SplittableRandom random;

    /** @param runs counts how often each request id was run, by all replicas */
    MisbehavingReplica(Map<String, AtomicInteger> runs, long seed) throws IOException {
        this.runs = runs;
        this.random = new SplittableRandom(seed);
        Thread acceptor = new Thread(this::acceptAll, "unruly");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", listener.getLocalPort());
    }

    static String bodyOf(String id) {
        return "answer to " + id + " " + "y".repeat(200);
    }

    static String eventOf(String id, int number) {
        return "id: " + number + "\ndata: " + id + " token " + number + "\n\n";
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                SplittableRandom chance;
                synchronized (random) {
                    chance = random.split();
                }
                Thread thread = new Thread(() -> serve(socket, chance), "unruly-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // closed: the test is over
        }
    }

    private void serve(Socket socket, SplittableRandom chance) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String extra = "";
            while (true) {
                HttpText.Message request = HttpText.read(in);
                String id = request.field("X-Pinewick-Request-Id");
                write(socket, extra);
                if (!respond(socket, chance, request, id)) {
                    return;
                }
                extra = chance.nextInt(8) == 0 && id != null ? ScriptedReplica.response(200, id, "late") : "";
            }
        } catch (IOException e) {
            // the router closed it
        }
    }

    /** Returns whether the connection goes on. */
    private boolean respond(Socket socket, SplittableRandom chance, HttpText.Message request, String id)
            throws IOException {
        if (id == null) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (chance.nextInt(6) == 0) {
            write(socket, ScriptedReplica.rejection(id));
            return true;
        }
        if (request.field("X-Pinewick-Serving-Stage") != null) {
            write(socket, ScriptedReplica.response(200, id, "{\"prefill_handle\":\"h-" + id + "\"}"));
            return true;
        }
        String kvFrom = request.field("Kv-From");
        if (kvFrom != null && !kvFrom.endsWith("/h-" + id)) {
            runs.computeIfAbsent("handle of another: " + id, key -> new AtomicInteger())
                    .incrementAndGet();
        }
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        return request.firstLine().contains("/lm/")
                ? stream(socket, chance, id, request.field("Last-Event-Id"))
                : plain(socket, chance, id);
    }

    private boolean plain(Socket socket, SplittableRandom chance, String id) throws IOException {
        String whole = ScriptedReplica.response(200, id, bodyOf(id));
        switch (chance.nextInt(18)) {
            case 0 -> {
                write(socket, whole.substring(0, chance.nextInt(whole.length())));
                return false;
            }
            case 1 -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case 2 -> write(socket, whole + ScriptedReplica.response(200, id, "extra"));
            case 3 -> {
                write(socket, "no answer at all\r\n\r\n");
                return false;
            }
            case 4 -> write(socket, ScriptedReplica.response(500, id, "failed"));
            case 5 -> {
                write(socket, ScriptedReplica.response(200, id, bodyOf(id), "Connection: close"));
                return false;
            }
            case 6 -> write(socket, "HTTP/1.1 100 Continue\r\n\r\n" + whole);
            case 7 -> {
                write(socket, whole.substring(0, whole.length() / 2));
                write(socket, whole.substring(whole.length() / 2));
            }
            case 8, 9 -> {
                // Without a length: whole if the connection is closed, and not if it is reset.
                write(socket, whole.replaceFirst("Content-Length: \\d+\r\n", ""));
                return false;
            }
            case 10 -> {
                String unframed = whole.replaceFirst("Content-Length: \\d+\r\n", "");
                write(
                        socket,
                        unframed.substring(
                                0,
                                unframed.length()
                                        - 1
                                        - chance.nextInt(bodyOf(id).length())));
                socket.setSoLinger(true, 0);
                return false;
            }
            default -> write(socket, whole);
        }
        return true;
    }

    private boolean stream(Socket socket, SplittableRandom chance, String id, String lastEventId) throws IOException {
        int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
        int breakAt = chance.nextInt(4) == 0 ? chance.nextInt(EVENTS) + 1 : Integer.MAX_VALUE;
        write(socket, ScriptedReplica.streamHead(id));
        for (int number = first; number <= EVENTS; number++) {
            String chunk = ScriptedReplica.chunk(eventOf(id, number));
            if (number >= breakAt) {
                write(socket, chunk.substring(0, chance.nextInt(chunk.length())));
                socket.setSoLinger(chance.nextInt(2) == 0, 0);
                return false;
            }
            write(socket, chunk);
        }
        write(socket, ScriptedReplica.lastChunk());
        return true;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
