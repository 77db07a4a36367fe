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
 * A registry of some members on loopback that speaks the JSON form of etcd's v3 API as far as a follower needs it:
 * ranges, watches. It compacts, drops, pauses, hides, lags and splits its answers on demand. A thread a connection.
 */
public final class StandinRegistry implements AutoCloseable {
    /** One member, and what is wrong with it. */
    public final class Member {
        private final ServerSocket listener;
        private final int number;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        /** Takes no connection and closes those it has. */
        private volatile boolean down;
        /** Reads and answers nothing. */
        public volatile boolean silent;
        /** Watches open and then say nothing. */
        public volatile boolean mute;
        /** Answers from what it held when it was cut off. */
        private volatile RegistryState old;

        public volatile String cluster = "77";
        /** Bytes a write at most; 0 for all at once. */
        public volatile int split;
        /** Breaks the connection in the middle of the next event's line. */
        public volatile boolean breaksNextEvent;

        private Member(int number) throws IOException {
            this.number = number;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            thread("registry-" + number, this::accept);
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        public void down(boolean now) {
            down = now;
            if (now) {
                drop();
            }
        }

        /** Breaks all its connections. */
        public void drop() {
            for (Socket each : open) {
                try {
                    each.setSoLinger(true, 0);
                    each.close();
                } catch (IOException gone) {
                    // It is closed already.
                }
            }
        }

        public void cutOff(boolean now) {
            synchronized (state) {
                old = now ? state.copy() : null;
            }
        }

        private RegistryState held() {
            RegistryState mine = old;
            return mine == null ? state : mine;
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
                } catch (IOException closed) {
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
                    JsonObject asked = JsonParser.parseString(body).getAsJsonObject();
                    if (path.equals("/v3/watch")) {
                        watch(asked.getAsJsonObject("create_request"), out);
                        return;
                    }
                    byte[] answer = (switch (path) {
                                case "/v3/kv/range" -> range(asked);
                                case "/v3/kv/put" -> put(asked);
                                case "/v3/lease/grant" -> grant(asked);
                                case "/v3/lease/keepalive" -> renew(asked);
                                default -> fault("unknown path", 12) + "\n";
                            })
                            .getBytes(StandardCharsets.UTF_8);
                    write(
                            out,
                            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + answer.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    write(out, answer);
                }
            } catch (IOException | RuntimeException gone) {
                // The other side left, or this side was told to break.
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            } finally {
                open.remove(socket);
            }
        }

        private void write(OutputStream out, byte[] bytes) throws IOException {
            int piece = split == 0 ? bytes.length : split;
            for (int from = 0; from < bytes.length; from += piece) {
                out.write(bytes, from, Math.min(piece, bytes.length - from));
                out.flush();
            }
        }

        private JsonObject header() {
            JsonObject header = new JsonObject();
            header.addProperty("cluster_id", cluster);
            header.addProperty("member_id", Integer.toString(100 + number));
            header.addProperty("revision", Long.toString(held().revision()));
            header.addProperty("raft_term", "3");
            return header;
        }

        private String range(JsonObject asked) {
            synchronized (state) {
                String from = key(asked, "key");
                String end = key(asked, "range_end");
                try {
                    boolean keysOnly = asked.has("keys_only");
                    RegistryState.Page page =
                            held().range(from, end, number(asked, "revision"), (int) number(asked, "limit"));
                    List<RegistryState.Version> keys = page.keys();
                    if (asked.has("sort_target")) {
                        RegistryState.Version newest = held().newest(from, end);
                        keys = newest == null ? List.of() : List.of(newest);
                    }
                    JsonObject answer = new JsonObject();
                    answer.add("header", header());
                    JsonArray pairs = new JsonArray();
                    keys.forEach(each -> pairs.add(pair(each, keysOnly)));
                    answer.add("kvs", pairs);
                    if (page.more()) {
                        answer.addProperty("more", true);
                    }
                    answer.addProperty("count", Long.toString(page.count()));
                    return answer + "\n";
                } catch (RegistryState.Compacted old) {
                    return fault(old.getMessage(), 11) + "\n";
                }
            }
        }

        private String put(JsonObject asked) {
            synchronized (state) {
                long lease = number(asked, "lease");
                if (lease != 0 && !leases.containsKey(lease)) {
                    return fault("etcdserver: requested lease not found", 5) + "\n";
                }
                StandinRegistry.this.put(
                        key(asked, "key"),
                        Base64.getDecoder().decode(asked.get("value").getAsString()),
                        lease);
                JsonObject answer = new JsonObject();
                answer.add("header", header());
                return answer + "\n";
            }
        }

        private String grant(JsonObject asked) {
            synchronized (state) {
                long seconds = number(asked, "TTL");
                leases.put(++lastLease, new double[] {seconds, StandinReplicas.clock() + seconds});
                return lease(lastLease, seconds) + "\n";
            }
        }

        private String renew(JsonObject asked) {
            synchronized (state) {
                long id = number(asked, "ID");
                double[] known = leases.get(id);
                if (known != null) {
                    known[1] = StandinReplicas.clock() + known[0];
                }
                JsonObject answer = new JsonObject();
                answer.add("result", lease(id, known == null ? 0 : (long) known[0]));
                return answer + "\n";
            }
        }

        private JsonObject lease(long id, long seconds) {
            JsonObject answer = new JsonObject();
            answer.add("header", header());
            answer.addProperty("ID", Long.toString(id));
            if (seconds > 0) {
                answer.addProperty("TTL", Long.toString(seconds));
            }
            return answer;
        }

        private void watch(JsonObject asked, OutputStream out) throws IOException, InterruptedException {
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            long next = number(asked, "start_revision");
            String from = key(asked, "key");
            String end = key(asked, "range_end");
            JsonObject created = new JsonObject();
            created.add("header", header());
            created.addProperty("watch_id", "0");
            created.addProperty("created", true);
            line(out, created);
            while (true) {
                JsonObject news = new JsonObject();
                synchronized (state) {
                    while (mute || silent || held().revision() < next) {
                        state.wait(50);
                        if (listener.isClosed()) {
                            return;
                        }
                    }
                    try {
                        List<RegistryState.Version> changes = held().changes(from, end, next);
                        next = held().revision() + 1;
                        if (changes.isEmpty()) {
                            continue;
                        }
                        JsonArray events = new JsonArray();
                        changes.forEach(each -> {
                            JsonObject event = new JsonObject();
                            if (each.value() == null) {
                                event.addProperty("type", "DELETE");
                            }
                            event.add("kv", pair(each, false));
                            events.add(event);
                        });
                        news.add("header", header());
                        news.addProperty("watch_id", "0");
                        news.add("events", events);
                    } catch (RegistryState.Compacted old) {
                        news.add("header", header());
                        news.addProperty("watch_id", "0");
                        news.addProperty("canceled", true);
                        news.addProperty("compact_revision", Long.toString(old.upTo));
                        line(out, news);
                        return;
                    }
                }
                if (breaksNextEvent) {
                    breaksNextEvent = false;
                    byte[] half = "1000\r\n{\"result\":{\"header\":{\"revision\":".getBytes(StandardCharsets.UTF_8);
                    write(out, half);
                    return;
                }
                line(out, news);
            }
        }

        private void line(OutputStream out, JsonObject result) throws IOException {
            JsonObject whole = new JsonObject();
            whole.add("result", result);
            byte[] text = (whole + "\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            chunk.writeBytes(text);
            chunk.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            write(out, chunk.toByteArray());
        }
    }

    private final RegistryState state = new RegistryState();
    private final List<Member> members = new ArrayList<>();
    /** Leases that were granted: their length, and when they run out. */
    private final Map<Long, double[]> leases = new LinkedHashMap<>();

    private long lastLease = 1000;
    private volatile boolean closed;

    public StandinRegistry(int members) throws IOException {
        for (int each = 0; each < members; each++) {
            this.members.add(new Member(each));
        }
        thread("registry-leases", this::expireInTime);
    }

    private void expireInTime() {
        while (!closed) {
            synchronized (state) {
                List<Long> over = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease[1] < StandinReplicas.clock()) {
                        over.add(id);
                    }
                });
                over.forEach(this::expire);
                try {
                    state.wait(20);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
        }
    }

    public List<Member> members() {
        return members;
    }

    /** Writes to what all members that are not cut off hold. */
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

    /** Forgets all changes up to now. */
    public void compact() {
        synchronized (state) {
            state.compact(state.revision());
        }
    }

    /** How many keys begin so. */
    public long keys(String prefix) {
        synchronized (state) {
            try {
                return state.range(prefix, prefix + '\uffff', 0, 0).count();
            } catch (RegistryState.Compacted never) {
                throw new IllegalStateException(never);
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

    private static String key(JsonObject asked, String field) {
        return new String(Base64.getDecoder().decode(asked.get(field).getAsString()), StandardCharsets.UTF_8);
    }

    private static long number(JsonObject asked, String field) {
        return asked.has(field) ? asked.get(field).getAsLong() : 0;
    }

    private static JsonObject pair(RegistryState.Version version, boolean keyOnly) {
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

    private static JsonObject fault(String words, int code) {
        JsonObject fault = new JsonObject();
        fault.addProperty("error", words);
        fault.addProperty("code", code);
        fault.addProperty("message", words);
        return fault;
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A request's head up to its empty line; null at the end. */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        while (true) {
            int one = in.read();
            if (one < 0) {
                return null;
            }
            head.write(one);
            last = last << 8 | one;
            if (last == 0x0d0a0d0a) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
    }
}
