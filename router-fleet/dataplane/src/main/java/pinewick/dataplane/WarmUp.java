package pinewick.dataplane;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Sends requests through the router once before clients connect, so that class loading does not delay the first
 * clients: a request without a route, and a call to this router's own readiness listener in place of a replica.
 */
final class WarmUp {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int TIMEOUT_MS = 500;
    private static final String HOST = "warm-up.invalid";

    private WarmUp() {}

    /** Blocks for some hundred milliseconds at most; a failure does not prevent serving. */
    static void run(SocketAddress frontend, SocketAddress readiness, DataPlaneServices services) {
        callReplica(readiness, services);
        try (Socket client = new Socket()) {
            client.setSoTimeout(TIMEOUT_MS);
            client.connect(new InetSocketAddress(InetAddress.getByName(frontend.host()), frontend.port()), TIMEOUT_MS);
            String request = "POST / HTTP/1.1\r\nHost: " + HOST + "\r\n" + HeaderNames.REQUEST_ID
                    + ": warm-up\r\nConnection: close\r\nContent-Length: 1\r\n\r\n.";
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().readAllBytes();
        } catch (IOException e) {
            LOGGER.atInfo().log("warm-up request failed: %s: %s", frontend, e.getMessage());
        }
    }

    private static void callReplica(SocketAddress readiness, DataPlaneServices services) {
        ReplicaRecord self = new ReplicaRecord(
                "warm-up", HOST, readiness, "", "", 1, ReplicaState.READY, 0, Stage.NONE, List.of(), 0, false);
        services.timers().schedule(0, () -> {
            services.directory().update(self);
            HttpFields fields = HttpFields.build()
                    .add(HttpHeader.HOST, readiness.toString())
                    .add(HttpHeader.CONNECTION, "close");
            UpstreamRequest request = new UpstreamRequest("GET", "/ready", fields, UpstreamRequest.NO_BODY, null);
            services.upstream().send(self, request, new IgnoredResponse(() -> services.directory()
                    .update(self.withState(ReplicaState.GONE))));
        });
    }

    /** Ignores the response. */
    private record IgnoredResponse(Runnable atEnd) implements CallListener {
        @Override
        public void onNotSent(NotSent reason) {
            atEnd.run();
        }

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onContent(ByteBuffer content) {}

        @Override
        public void onComplete() {
            atEnd.run();
        }

        @Override
        public void onFailure(String reason) {
            atEnd.run();
        }
    }
}
