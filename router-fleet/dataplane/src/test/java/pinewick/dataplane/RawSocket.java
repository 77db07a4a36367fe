package pinewick.dataplane;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** One end of a TCP connection that the test reads and writes directly. Every wait is bounded. */
final class RawSocket implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int SHORT_READ_TIMEOUT_MS = 20;
    private static final int MAX_ITERATIONS = 500;
    /** Their waits are shorter in total than any deadline in the tests. */
    private static final int MAX_ITERATIONS_BEFORE_DEADLINE = 100;

    private static final int BLOCKED_MS = 300;
    private static final int BUFFER_BYTES = 8192;

    private final Socket socket;
    private final InputStream in;

    RawSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static RawSocket connect(int port) throws IOException {
        return new RawSocket(new Socket(InetAddress.getByName("127.0.0.1"), port));
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    HttpText.Message read() throws IOException {
        return HttpText.read(in);
    }

    HttpText.Message readHead() throws IOException {
        return HttpText.readHead(in);
    }

    /** Whether a byte arrives within this time, milliseconds; none is consumed. */
    boolean hasDataWithin(int waitMs) throws IOException {
        in.mark(1);
        socket.setSoTimeout(waitMs);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            in.reset();
            socket.setSoTimeout(READ_TIMEOUT_MS);
        }
    }

    /** Reads until the peer closes or resets the connection. */
    String readUntilEnd() {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("the connection is still open", e);
        } catch (IOException e) {
            // A reset ends the connection too.
        }
        return text.toString();
    }

    String readBytes(int count) throws IOException {
        return HttpText.readBytes(in, count);
    }

    String readChunk() throws IOException {
        return HttpText.readChunk(in);
    }

    /** Waits for the peer to close or reset the connection; false if a byte arrives or the wait times out. */
    boolean isClosedByPeer() {
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    /** Sends until the peer has closed the connection; true if that happens within a bounded number of iterations. */
    boolean isClosedByPeerWhileSending(IntFunction<String> textOfIteration) throws IOException {
        socket.setSoTimeout(SHORT_READ_TIMEOUT_MS);
        for (int iteration = 0; iteration < MAX_ITERATIONS; iteration++) {
            try {
                send(textOfIteration.apply(iteration));
                if (in.read() < 0) {
                    return true;
                }
            } catch (SocketTimeoutException e) {
                // Still open: continue.
            } catch (IOException e) {
                return true;
            }
        }
        return false;
    }

    /**
     * Repeats a step until the peer has closed the connection; true if that happens within a bounded number of
     * iterations.
     */
    boolean isClosedByPeerWhile(Runnable step) throws IOException {
        socket.setSoTimeout(SHORT_READ_TIMEOUT_MS);
        for (int iteration = 0; iteration < MAX_ITERATIONS_BEFORE_DEADLINE; iteration++) {
            step.run();
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                // Still open: continue.
            }
        }
        return false;
    }

    /** Sends on a separate thread until the peer has accepted no more for {@link #BLOCKED_MS}. */
    void sendUntilBlocked(String text) throws Exception {
        AtomicInteger sent = new AtomicInteger();
        Thread sender = new Thread(() -> {
            try {
                while (true) {
                    send(text);
                    sent.incrementAndGet();
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        sender.setDaemon(true);
        sender.start();
        int previous;
        do {
            previous = sent.get();
            sender.join(BLOCKED_MS);
        } while (sent.get() != previous);
    }

    /** Sends, and resets the connection immediately afterwards. */
    void sendAndReset(String text) throws IOException {
        send(text);
        reset();
    }

    /** Resets the connection instead of closing it orderly. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
