package pinewick.lab.demo;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import pinewick.model.SocketAddress;

/** Clients that continuously request streams, each on its own thread. */
final class DemoClients implements AutoCloseable {
    private static final int CLIENTS = 4;
    private static final long REQUEST_INTERVAL_MS = 30;
    private static final long JOIN_TIMEOUT_MS = StreamingClient.DEADLINE.toMillis() + 1_000;

    private final List<SocketAddress> routers;
    private final RequestTally tally;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong requestCount = new AtomicLong();
    private volatile String path = DemoConfiguration.FIRST_PATH;
    private volatile boolean stopped;

    DemoClients(List<SocketAddress> routers, RequestTally tally) {
        this.routers = routers;
        this.tally = tally;
    }

    void start() {
        for (int number = 0; number < CLIENTS; number++) {
            Thread thread = new Thread(this::sendRequests, "client " + number);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    /** Sends all later requests to another route. */
    void useRoute(String newPath) {
        path = newPath;
    }

    private void sendRequests() {
        StreamingClient client = new StreamingClient(http, routers, tally);
        try {
            while (!stopped) {
                long number = requestCount.incrementAndGet();
                client.send("request-" + number, path + number, (int) (number % routers.size()));
                Thread.sleep(REQUEST_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the clients after their current requests; waits at most the request deadline plus 1 s for each. */
    @Override
    public void close() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(JOIN_TIMEOUT_MS);
        }
    }
}
