package pinewick.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Orders without an answer. Each may have been taken, and what it concerns gets no other one before a report tells by
 * its count of orders taken. No I/O; owned by one thread.
 */
final class UnansweredOrders {
    /** A report shows what held some hundred milliseconds before; one asked for later than this shows the order. */
    static final double REPORT_DELAY_MS = 1_000;

    private final Map<String, Unanswered> orders = new HashMap<>();

    private record Unanswered(String service, long ordersBefore, double atMs) {}

    /** An order to {@code replica}, as it had reported, has ended without an answer. */
    void add(ReplicaLoad replica, double nowMs) {
        orders.put(replica.instanceId(), new Unanswered(replica.service(), replica.orders(), nowMs));
    }

    /**
     * A replica has reported.
     *
     * @param askedAtMs when it was asked to
     */
    void onReport(ReplicaLoad load, double askedAtMs) {
        Unanswered order = orders.get(load.instanceId());
        if (order == null) {
            return;
        }
        boolean taken = load.orders() > order.ordersBefore;
        boolean notTaken = askedAtMs - order.atMs >= REPORT_DELAY_MS;
        if (taken || notTaken) {
            orders.remove(load.instanceId());
        }
    }

    /** Drops orders to instances that are not among the ones that run. */
    void retain(Set<String> runningInstances) {
        orders.keySet().retainAll(runningInstances);
    }

    /** The services that wait for the outcome of an order. */
    Set<String> services() {
        Set<String> services = new HashSet<>();
        orders.values().forEach(order -> services.add(order.service));
        return services;
    }
}
