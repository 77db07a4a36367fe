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

/** Fake search replicas on loopback that answer every part after a fixed time and record when each part arrived. */
public final class StandinReplicas implements AutoCloseable {
    /** The arrival of a part at a replica, in seconds on the clock of {@link System#nanoTime}. */
    public record Arrival(double at, int replica, String part) {}

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final double[] serviceSeconds;

    /** @param serviceSeconds seconds from the arrival of a part to its response */
    public StandinReplicas(int count, double serviceSeconds) throws IOException {
        this(java.util.stream.DoubleStream.generate(() -> serviceSeconds)
                .limit(count)
                .toArray());
    }

    /** @param serviceSeconds seconds from the arrival of a part to its response, by replica */
    public StandinReplicas(double... serviceSeconds) throws IOException {
        this.serviceSeconds = serviceSeconds;
        for (int each = 0; each < serviceSeconds.length; each++) {
            ServerSocket listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            listeners.add(listener);
            int replica = each;
            StandinRegistry.thread("searcher-" + each, () -> accept(listener, replica));
        }
    }

    public String address(int replica) {
        return "127.0.0.1:" + listeners.get(replica).getLocalPort();
    }

    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    public static double clock() {
        return System.nanoTime() / 1e9;
    }

    private void accept(ServerSocket listener, int replica) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                StandinRegistry.thread("searcher-" + replica + "-connection", () -> serve(socket, replica));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int replica) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                int length = Integer.reverseBytes(in.readInt());
                byte[] frame = in.readNBytes(length);
                double at = clock();
                switch (frame[0]) {
                    case '1' -> onCall(frame, replica, at, out);
                    case '3' -> send(out, '3', "S");
                    case '4' -> send(out, '4', "pending=0");
                    default -> {}
                }
            }
        } catch (IOException | InterruptedException e) {
            // The router closed its connection.
        }
    }

    private void onCall(byte[] frame, int replica, double at, OutputStream out)
            throws IOException, InterruptedException {
        List<String> parts = new ArrayList<>();
        int from = 1;
        while (from < frame.length) {
            int end = from;
            while (frame[end] != '\n') {
                end++;
            }
            String[] fields = new String(frame, from, end - from, StandardCharsets.UTF_8).split(" ");
            parts.add(fields[0]);
            arrivals.add(new Arrival(at, replica, fields[0]));
            from = end + 1 + Integer.parseInt(fields[3]);
        }
        Thread.sleep(Math.round(serviceSeconds[replica] * 1e3));
        for (String part : parts) {
            send(out, '5', part + " S 1 pending=0\nvalue-of-" + part);
        }
    }

    private static void send(OutputStream out, char type, String payload) throws IOException {
        byte[] text = payload.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        int length = Integer.reverseBytes(1 + text.length);
        for (int shift = 24; shift >= 0; shift -= 8) {
            frame.write(length >>> shift);
        }
        frame.write(type);
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
