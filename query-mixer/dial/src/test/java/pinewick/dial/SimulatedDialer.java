package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Addresses that accept, refuse or hang, in virtual time, and one connection race at a time over them. */
final class SimulatedDialer {
    /** Seconds until the address accepts the connection; negative: it refuses after that time; NaN: it hangs. */
    final Map<Address, Double> outcomes = new LinkedHashMap<>();

    final AddressHistory history = new AddressHistory();
    final List<String> events = new ArrayList<>();
    double now;
    Address winner;
    boolean lost;
    int cancelledCount;

    private record ScheduledEvent(double at, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> queue =
            new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));

    SimulatedDialer(Map<String, Double> addresses) {
        addresses.forEach((text, outcome) -> outcomes.put(Address.parse(text), outcome));
        history.setAddresses(outcomes.keySet());
    }

    /** Runs one race to its end. Returns the seconds until the winner connected, NaN if the race was lost. */
    double race(double timeoutSeconds) {
        winner = null;
        lost = false;
        queue.clear();
        events.clear();
        double startedAt = now;
        ConnectionRace[] race = new ConnectionRace[1];
        race[0] = new ConnectionRace(history, now, timeoutSeconds, new ConnectionRace.Transport() {
            @Override
            public void connect(Address address) {
                events.add("connect " + address);
                double outcome = outcomes.get(address);
                if (outcome >= 0) {
                    queue.add(new ScheduledEvent(now + outcome, () -> race[0].onConnected(now, address)));
                } else if (outcome < 0) {
                    queue.add(new ScheduledEvent(now - outcome, () -> race[0].onConnectFailed(now, address)));
                }
            }

            @Override
            public void cancel(Address address) {
                cancelledCount++;
                events.add("cancel " + address);
            }

            @Override
            public void onWon(Address address) {
                if (winner != null) {
                    throw new IllegalStateException("two winners");
                }
                winner = address;
            }

            @Override
            public void onLost() {
                lost = true;
            }
        });
        race[0].tick(now);
        while (!race[0].isFinished()) {
            double nextTick = now + 0.005;
            while (!queue.isEmpty() && queue.peek().at <= nextTick && !race[0].isFinished()) {
                ScheduledEvent event = queue.poll();
                now = event.at;
                event.action.run();
            }
            if (!race[0].isFinished()) {
                now = nextTick;
                race[0].tick(now);
            }
        }
        double elapsedSeconds = winner == null ? Double.NaN : now - startedAt;
        if (winner != null) {
            history.onDataReceived(winner, now);
        }
        return elapsedSeconds;
    }
}
