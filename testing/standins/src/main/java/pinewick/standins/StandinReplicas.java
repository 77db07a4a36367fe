package pinewick.standins;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Searchers on loopback that answer every part after a stated time and keep when each part came, by searcher. */
public final class StandinReplicas implements AutoCloseable {
    /** A part that came; seconds by {@link System#nanoTime}. */
    public record Arrival(double at, int searcher, String part) {}

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final double[] answerTimes;

    /** @param answerTime seconds from a part's arrival to its answer */
    public StandinReplicas(int count, double answerTime) throws IOException {
        this(java.util.stream.DoubleStream.generate(() -> answerTime)
                .limit(count)
                .toArray());
    }

    /** @param answerTimes seconds from a part's arrival to its answer, by searcher */
    public StandinReplicas(double... answerTimes) throws IOException {
        this.answerTimes = answerTimes;
        for (int each = 0; each < answerTimes.length; each++) {
            ServerSocket listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            listeners.add(listener);
            int searcher = each;
            StandinRegistry.thread("searcher-" + each, () -> accept(listener, searcher));
        }
    }

    public String address(int searcher) {
        return "127.0.0.1:" + listeners.get(searcher).getLocalPort();
    }

    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    public static double clock() {
        return System.nanoTime() / 1e9;
    }

    private void accept(ServerSocket listener, int searcher) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                StandinRegistry.thread("searcher-" + searcher + "-connection", () -> serve(socket, searcher));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, int searcher) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                int length = Integer.reverseBytes(in.readInt());
                byte[] frame = in.readNBytes(length);
                double at = clock();
                switch (frame[0]) {
                    case '1' -> call(frame, searcher, at, out);
                    case '3' -> send(out, '3', "S");
                    case '4' -> send(out, '4', "pending=0");
                    default -> {}
                }
            }
        } catch (IOException | InterruptedException gone) {
            // The mixer closed its connection.
        }
    }

    private void call(byte[] frame, int searcher, double at, OutputStream out)
            throws IOException, InterruptedException {
        List<String> parts = new ArrayList<>();
        int from = 1;
        while (from < frame.length) {
            int end = from;
            while (frame[end] != '\n') {
                end++;
            }
            String[] words = new String(frame, from, end - from, StandardCharsets.UTF_8).split(" ");
            parts.add(words[0]);
            arrivals.add(new Arrival(at, searcher, words[0]));
            from = end + 1 + Integer.parseInt(words[3]);
        }
        Thread.sleep(Math.round(answerTimes[searcher] * 1e3));
        for (String part : parts) {
            send(out, '5', part + " S 1 pending=0\nvalue-of-" + part);
        }
    }

    private static void send(OutputStream out, char letter, String rest) throws IOException {
        byte[] text = rest.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        int length = Integer.reverseBytes(1 + text.length);
        for (int shift = 24; shift >= 0; shift -= 8) {
            frame.write(length >>> shift);
        }
        frame.write(letter);
        frame.writeBytes(text);
        synchronized (out) {
            out.write(frame.toByteArray());
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket each : listeners) {
            each.close();
        }
    }
}
