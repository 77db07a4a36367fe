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

/** One end of a connection, played by hand. Every wait is bounded. */
final class RawSocket implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;
    private static final int SHORT_WAIT_MS = 20;
    private static final int MOST_TURNS = 500;
    /** Their waits are together shorter than any deadline in the tests. */
    private static final int MOST_TURNS_BEFORE_A_DEADLINE = 100;

    private static final int HELD_UP_MS = 300;
    private static final int PIECE_BYTES = 8192;

    private final Socket socket;
    private final InputStream in;

    RawSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_MS);
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

    /** Whether something is there to be read within a time; nothing is taken. */
    boolean hasDataWithin(int waitMs) throws IOException {
        in.mark(1);
        socket.setSoTimeout(waitMs);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            in.reset();
            socket.setSoTimeout(PATIENCE_MS);
        }
    }

    /** Everything that comes until the other side's orderly end or a reset. */
    String readUntilEnd() {
        StringBuilder text = new StringBuilder();
        byte[] piece = new byte[PIECE_BYTES];
        try {
            for (int count = in.read(piece); count > 0; count = in.read(piece)) {
                text.append(new String(piece, 0, count, StandardCharsets.ISO_8859_1));
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("still open", e);
        } catch (IOException e) {
            // a reset is an end
        }
        return text.toString();
    }

    String readBytes(int count) throws IOException {
        return HttpText.readBytes(in, count);
    }

    String readChunk() throws IOException {
        return HttpText.readChunk(in);
    }

    /** Waits for the other side's end; true if nothing came before it. A reset counts as an end. */
    boolean isClosedByPeer() {
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    /** Sends until the other side's end is felt; true if it came within a bounded number of turns. */
    boolean isClosedByPeerWhileSending(IntFunction<String> textOfTurn) throws IOException {
        socket.setSoTimeout(SHORT_WAIT_MS);
        for (int iteration = 0; iteration < MOST_TURNS; iteration++) {
            try {
                send(textOfTurn.apply(iteration));
                if (in.read() < 0) {
                    return true;
                }
            } catch (SocketTimeoutException e) {
                // still open: the next turn
            } catch (IOException e) {
                return true;
            }
        }
        return false;
    }

    /**
     * Runs a step over and over until the other side's end is felt; true if it came within a bounded number of
     * turns.
     */
    boolean isClosedByPeerWhile(Runnable step) throws IOException {
        socket.setSoTimeout(SHORT_WAIT_MS);
        for (int iteration = 0; iteration < MOST_TURNS_BEFORE_A_DEADLINE; iteration++) {
            step.run();
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                // still open: the next turn
            }
        }
        return false;
    }

    /** Sends on a thread of its own until the other side takes no more for a while. */
    void sendUntilBlocked(String text) throws Exception {
        AtomicInteger sent = new AtomicInteger();
        Thread sender = new Thread(() -> {
            try {
                while (true) {
                    send(text);
                    sent.incrementAndGet();
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        sender.setDaemon(true);
        sender.start();
        int before;
        do {
            before = sent.get();
            sender.join(HELD_UP_MS);
        } while (sent.get() != before);
    }

    /** Sends, and resets right behind it. */
    void sendAndReset(String text) throws IOException {
        send(text);
        reset();
    }

    /** Closes with a reset in place of an orderly end. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
