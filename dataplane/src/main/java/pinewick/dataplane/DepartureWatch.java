package pinewick.dataplane;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Looks at short, regular times whether the clients of requests under way have left, since Jetty would not notice
 * before the next write. Without I/O of its own; used on the data plane's executor only.
 */
final class DepartureWatch {
    /** A replica must be let go within half a second of its client's departure; this leaves room for a busy machine. */
    static final double PERIOD_MS = 150;

    private final Timers timers;
    private final Set<Client> clients = new LinkedHashSet<>();
    private boolean scheduled;

    /** A client that waits for an answer. */
    interface Client {
        /** Looks at the connection, and breaks the request off if the client has closed it. */
        void lookForDeparture();
    }

    DepartureWatch(Timers timers) {
        this.timers = timers;
    }

    void add(Client client) {
        clients.add(client);
        scheduleNext();
    }

    void remove(Client client) {
        clients.remove(client);
    }

    /** Looks at every client now. */
    void look() {
        List.copyOf(clients).forEach(Client::lookForDeparture);
    }

    private void scheduleNext() {
        if (!scheduled && !clients.isEmpty()) {
            scheduled = true;
            timers.schedule(PERIOD_MS, this::onTime);
        }
    }

    private void onTime() {
        scheduled = false;
        scheduleNext();
        look();
    }
}
