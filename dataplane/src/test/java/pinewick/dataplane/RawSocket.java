package pinewick.dataplane;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One end of a connection, played by hand. Every wait is bounded. */
final class RawSocket implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;

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
