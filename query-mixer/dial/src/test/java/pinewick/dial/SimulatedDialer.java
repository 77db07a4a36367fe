package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Addresses that open, refuse or hang, in virtual time, and one race at a time over them. */
final class SimulatedDialer {
    /** NaN hangs; negative refuses after that many seconds; else opens after so many. */
    final Map<Address, Double> behaviour = new LinkedHashMap<>();

    final AddressHistory book = new AddressHistory();
    final List<String> events = new ArrayList<>();
    double now;
    Address winner;
    boolean lost;
    int abandoned;

    private record Due(double at, Runnable what) {}

    private final PriorityQueue<Due> queue = new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));

    SimulatedDialer(Map<String, Double> addresses) {
        addresses.forEach((text, does) -> behaviour.put(Address.read(text), does));
        book.set(behaviour.keySet());
    }

    /** Runs one race to its end; the seconds until its winner came up, NaN where there was none. */
    double race(double most) {
        winner = null;
        lost = false;
        queue.clear();
        events.clear();
        double from = now;
        ConnectionRace[] race = new ConnectionRace[1];
        race[0] = new ConnectionRace(book, now, most, new ConnectionRace.Wire() {
            @Override
            public void open(Address address) {
                events.add("open " + address);
                double does = behaviour.get(address);
                if (does >= 0) {
                    queue.add(new Due(now + does, () -> race[0].opened(now, address)));
                } else if (does < 0) {
                    queue.add(new Due(now - does, () -> race[0].failed(now, address)));
                }
            }

            @Override
            public void abandon(Address address) {
                abandoned++;
                events.add("abandon " + address);
            }

            @Override
            public void won(Address address) {
                if (winner != null) {
                    throw new IllegalStateException("two winners");
                }
                winner = address;
            }

            @Override
            public void lost() {
                lost = true;
            }
        });
        race[0].tick(now);
        while (!race[0].over()) {
            double tick = now + 0.005;
            while (!queue.isEmpty() && queue.peek().at <= tick && !race[0].over()) {
                Due due = queue.poll();
                now = due.at;
                due.what.run();
            }
            if (!race[0].over()) {
                now = tick;
                race[0].tick(now);
            }
        }
        double took = winner == null ? Double.NaN : now - from;
        if (winner != null) {
            book.served(winner, now);
        }
        return took;
    }
}
