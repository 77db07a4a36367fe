package pinewick.dataplane;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks periodically whether the clients of requests in flight have disconnected, since Jetty would not notice before
 * the next write. A request is skipped at the first check after its start, because most requests are complete before
 * the second. Performs no I/O itself; used on the data plane's executor only.
 */
final class ClientDisconnectDetector {
    /**
     * Interval between two checks, milliseconds. A call to a replica must end within 500 ms of its client's disconnect;
     * that leaves time for two intervals and a margin for a busy machine.
     */
    static final double PERIOD_MS = 150;

    private final Timers timers;
    private final Set<Client> newClients = new LinkedHashSet<>();
    private final Set<Client> watchedClients = new LinkedHashSet<>();
    private boolean scheduled;

    /** A client that waits for a response or for the rest of one. */
    interface Client {
        /** Checks the connection, and cancels the request if the client has closed it. */
        void checkDisconnected(double nowMs);
    }

    ClientDisconnectDetector(Timers timers) {
        this.timers = timers;
    }

    void add(Client client) {
        newClients.add(client);
        scheduleNext();
    }

    void remove(Client client) {
        newClients.remove(client);
        watchedClients.remove(client);
    }

    /** Checks every client now. */
    void checkAll() {
        watchNewClients();
        check();
    }

    private void watchNewClients() {
        watchedClients.addAll(newClients);
        newClients.clear();
    }

    private void check() {
        double nowMs = timers.nowMs();
        List.copyOf(watchedClients).forEach(client -> client.checkDisconnected(nowMs));
    }

    private void scheduleNext() {
        if (!scheduled && !(newClients.isEmpty() && watchedClients.isEmpty())) {
            scheduled = true;
            timers.schedule(PERIOD_MS, this::onTimer);
        }
    }

    private void onTimer() {
        scheduled = false;
        scheduleNext();
        check();
        watchNewClients();
    }
}
