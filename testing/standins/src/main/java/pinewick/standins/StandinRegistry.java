package pinewick.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
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
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fake registry of several members on loopback. It speaks the JSON form of the etcd v3 API as far as a watching
 * client needs it: ranges, watches, puts and leases. On demand it compacts, drops connections, stops responding,
 * serves stale state and splits its responses. One thread per connection.
 */
public final class StandinRegistry implements AutoCloseable {
    /** One member and its injected faults. */
    public final class Member {
        private final ServerSocket listener;
        private final int number;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        /** If set, the member resets each new connection; its open ones are closed. */
        private volatile boolean down;
        /** If set, the member does not respond to requests. */
        public volatile boolean silent;
        /** If set, watches are established and then deliver nothing. */
        public volatile boolean watchSilent;
        /** The state at the time of a partition, from which the member then responds; null if it is not partitioned. */
        private volatile RegistryState stale;

        public volatile String clusterId = "77";
        /** Maximum number of bytes per write; 0 for no limit. */
        public volatile int maxWriteBytes;
        /** If set, the connection is closed in the middle of the line with the next event. */
        public volatile boolean breakNextEvent;

        private Member(int number) throws IOException {
            this.number = number;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            thread("registry-" + number, this::accept);
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        public void setDown(boolean isDown) {
            down = isDown;
            if (isDown) {
                drop();
            }
        }

        /** Resets all connections of this member. */
        public void drop() {
            for (Socket each : open) {
                try {
                    each.setSoLinger(true, 0);
                    each.close();
                } catch (IOException e) {
                    // The connection is already closed.
                }
            }
        }

        public void setPartitioned(boolean partitioned) {
            synchronized (state) {
                stale = partitioned ? state.copy() : null;
            }
        }

        private RegistryState visibleState() {
            RegistryState own = stale;
            return own == null ? state : own;
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    if (down) {
                        socket.setSoLinger(true, 0);
                        socket.close();
                        continue;
                    }
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread("registry-" + number + "-connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String head = head(in);
                    if (head == null) {
                        return;
                    }
                    String path = head.split(" ")[1];
                    int at = head.toLowerCase(Locale.ROOT).indexOf("content-length:");
                    int length = at < 0
                            ? 0
                            : Integer.parseInt(
                                    head.substring(at + 15).split("\r\n")[0].strip());
                    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                    while (silent) {
                        Thread.sleep(5);
                    }
                    JsonObject request = JsonParser.parseString(body).getAsJsonObject();
                    if (path.equals("/v3/watch")) {
                        watch(request.getAsJsonObject("create_request"), out);
                        return;
                    }
                    byte[] response = (switch (path) {
                                case "/v3/kv/range" -> range(request);
                                case "/v3/kv/put" -> put(request);
                                case "/v3/lease/grant" -> grant(request);
                                case "/v3/lease/keepalive" -> keepAlive(request);
                                default -> error("unknown path", 12) + "\n";
                            })
                            .getBytes(StandardCharsets.UTF_8);
                    write(
                            out,
                            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + response.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    write(out, response);
                }
            } catch (IOException | RuntimeException e) {
                // The client closed the connection, or the test made the member drop it.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                open.remove(socket);
            }
        }

        private void write(OutputStream out, byte[] bytes) throws IOException {
            int writeBytes = maxWriteBytes == 0 ? bytes.length : maxWriteBytes;
            for (int from = 0; from < bytes.length; from += writeBytes) {
                out.write(bytes, from, Math.min(writeBytes, bytes.length - from));
                out.flush();
            }
        }

        private JsonObject header() {
            JsonObject header = new JsonObject();
            header.addProperty("cluster_id", clusterId);
            header.addProperty("member_id", Integer.toString(100 + number));
            header.addProperty("revision", Long.toString(visibleState().revision()));
            header.addProperty("raft_term", "3");
            return header;
        }

        private String range(JsonObject request) {
            synchronized (state) {
                String from = keyField(request, "key");
                String end = keyField(request, "range_end");
                try {
                    boolean keysOnly = request.has("keys_only");
                    RegistryState.Page page = visibleState()
                            .range(from, end, numberField(request, "revision"), (int) numberField(request, "limit"));
                    List<RegistryState.Version> keys = page.keys();
                    if (request.has("sort_target")) {
                        RegistryState.Version newest = visibleState().newest(from, end);
                        keys = newest == null ? List.of() : List.of(newest);
                    }
                    JsonObject response = new JsonObject();
                    response.add("header", header());
                    JsonArray pairs = new JsonArray();
                    keys.forEach(each -> pairs.add(toJson(each, keysOnly)));
                    response.add("kvs", pairs);
                    if (page.more()) {
                        response.addProperty("more", true);
                    }
                    response.addProperty("count", Long.toString(page.count()));
                    return response + "\n";
                } catch (RegistryState.Compacted e) {
                    return error(e.getMessage(), 11) + "\n";
                }
            }
        }

        private String put(JsonObject request) {
            synchronized (state) {
                long lease = numberField(request, "lease");
                if (lease != 0 && !leases.containsKey(lease)) {
                    return error("etcdserver: requested lease not found", 5) + "\n";
                }
                StandinRegistry.this.put(
                        keyField(request, "key"),
                        Base64.getDecoder().decode(request.get("value").getAsString()),
                        lease);
                JsonObject response = new JsonObject();
                response.add("header", header());
                return response + "\n";
            }
        }

        private String grant(JsonObject request) {
            synchronized (state) {
                long seconds = numberField(request, "TTL");
                leases.put(++lastLease, new double[] {seconds, StandinReplicas.clock() + seconds});
                return lease(lastLease, seconds) + "\n";
            }
        }

        private String keepAlive(JsonObject request) {
            synchronized (state) {
                long id = numberField(request, "ID");
                double[] lease = leases.get(id);
                if (lease != null) {
                    lease[1] = StandinReplicas.clock() + lease[0];
                }
                JsonObject response = new JsonObject();
                response.add("result", lease(id, lease == null ? 0 : (long) lease[0]));
                return response + "\n";
            }
        }

        private JsonObject lease(long id, long seconds) {
            JsonObject response = new JsonObject();
            response.add("header", header());
            response.addProperty("ID", Long.toString(id));
            if (seconds > 0) {
                response.addProperty("TTL", Long.toString(seconds));
            }
            return response;
        }

        private void watch(JsonObject request, OutputStream out) throws IOException, InterruptedException {
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            long next = numberField(request, "start_revision");
            String from = keyField(request, "key");
            String end = keyField(request, "range_end");
            JsonObject created = new JsonObject();
            created.add("header", header());
            created.addProperty("watch_id", "0");
            created.addProperty("created", true);
            writeLine(out, created);
            while (true) {
                JsonObject update = new JsonObject();
                synchronized (state) {
                    while (watchSilent || silent || visibleState().revision() < next) {
                        state.wait(50);
                        if (listener.isClosed()) {
                            return;
                        }
                    }
                    try {
                        List<RegistryState.Version> changes = visibleState().changes(from, end, next);
                        next = visibleState().revision() + 1;
                        if (changes.isEmpty()) {
                            continue;
                        }
                        JsonArray events = new JsonArray();
                        changes.forEach(each -> {
                            JsonObject event = new JsonObject();
                            if (each.value() == null) {
                                event.addProperty("type", "DELETE");
                            }
                            event.add("kv", toJson(each, false));
                            events.add(event);
                        });
                        update.add("header", header());
                        update.addProperty("watch_id", "0");
                        update.add("events", events);
                    } catch (RegistryState.Compacted e) {
                        update.add("header", header());
                        update.addProperty("watch_id", "0");
                        update.addProperty("canceled", true);
                        update.addProperty("compact_revision", Long.toString(e.upTo));
                        writeLine(out, update);
                        return;
                    }
                }
                if (breakNextEvent) {
                    breakNextEvent = false;
                    byte[] half = "1000\r\n{\"result\":{\"header\":{\"revision\":".getBytes(StandardCharsets.UTF_8);
                    write(out, half);
                    return;
                }
                writeLine(out, update);
            }
        }

        private void writeLine(OutputStream out, JsonObject result) throws IOException {
            JsonObject message = new JsonObject();
            message.add("result", result);
            byte[] text = (message + "\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            chunk.writeBytes(text);
            chunk.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            write(out, chunk.toByteArray());
        }
    }

    private final RegistryState state = new RegistryState();
    private final List<Member> members = new ArrayList<>();
    /** Granted leases by id: the time to live and the time of expiry, in seconds. */
    private final Map<Long, double[]> leases = new LinkedHashMap<>();

    private long lastLease = 1000;
    private volatile boolean closed;

    public StandinRegistry(int members) throws IOException {
        for (int each = 0; each < members; each++) {
            this.members.add(new Member(each));
        }
        thread("registry-leases", this::expireLeases);
    }

    private void expireLeases() {
        while (!closed) {
            synchronized (state) {
                List<Long> expired = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease[1] < StandinReplicas.clock()) {
                        expired.add(id);
                    }
                });
                expired.forEach(this::expire);
                try {
                    state.wait(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    public List<Member> members() {
        return members;
    }

    /** Writes a key, for all members that are not partitioned. */
    public long put(String key, String value) {
        synchronized (state) {
            long revision = state.put(key, value);
            state.notifyAll();
            return revision;
        }
    }

    public long put(String key, byte[] value, long lease) {
        synchronized (state) {
            long revision = state.put(key, value, lease);
            state.notifyAll();
            return revision;
        }
    }

    public long remove(List<String> keys) {
        synchronized (state) {
            long revision = state.remove(keys);
            state.notifyAll();
            return revision;
        }
    }

    public void expire(long lease) {
        synchronized (state) {
            leases.remove(lease);
            state.expire(lease);
            state.notifyAll();
        }
    }

    /** Compacts all changes up to the current revision. */
    public void compact() {
        synchronized (state) {
            state.compact(state.revision());
        }
    }

    /** Number of keys with this prefix. */
    public long keyCount(String prefix) {
        synchronized (state) {
            try {
                return state.range(prefix, prefix + '\uffff', 0, 0).count();
            } catch (RegistryState.Compacted e) {
                throw new IllegalStateException(e);
            }
        }
    }

    public long revision() {
        synchronized (state) {
            return state.revision();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Member each : members) {
            each.listener.close();
            each.drop();
        }
    }

    private static String keyField(JsonObject request, String field) {
        return new String(Base64.getDecoder().decode(request.get(field).getAsString()), StandardCharsets.UTF_8);
    }

    private static long numberField(JsonObject request, String field) {
        return request.has(field) ? request.get(field).getAsLong() : 0;
    }

    private static JsonObject toJson(RegistryState.Version version, boolean keyOnly) {
        JsonObject pair = new JsonObject();
        pair.addProperty("key", Base64.getEncoder().encodeToString(version.key().getBytes(StandardCharsets.UTF_8)));
        pair.addProperty("mod_revision", Long.toString(version.revision()));
        if (version.value() != null && !keyOnly) {
            pair.addProperty("value", Base64.getEncoder().encodeToString(version.value()));
        }
        if (version.lease() != 0) {
            pair.addProperty("lease", Long.toString(version.lease()));
        }
        return pair;
    }

    private static JsonObject error(String message, int code) {
        JsonObject error = new JsonObject();
        error.addProperty("error", message);
        error.addProperty("code", code);
        error.addProperty("message", message);
        return error;
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The head of a request up to the empty line; null at the end of the stream. */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while (true) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            last = last << 8 | next;
            if (last == 0x0d0a0d0a) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
    }
}
