package pinewick.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Orders without a response. Each may or may not have been accepted; its service gets no other order until a report
 * of the replica shows which, by its count of accepted orders. No I/O; control loop only.
 */
final class UnresolvedOrders {
    /**
     * A report requested at least this long after an order shows whether the order was accepted, milliseconds.
     * Reports may be a few hundred milliseconds old.
     */
    static final double REPORT_DELAY_MS = 1_000;

    private final Map<String, UnresolvedOrder> orders = new HashMap<>();

    private record UnresolvedOrder(String service, long acceptedBefore, double sentMs) {}

    /**
     * Adds an order that ended without a response.
     *
     * @param replica the load report on which the order was based
     */
    void add(ReplicaLoad replica, double nowMs) {
        orders.put(replica.instanceId(), new UnresolvedOrder(replica.service(), replica.acceptedOrders(), nowMs));
    }

    /**
     * Removes the order to a replica if its report shows the outcome.
     *
     * @param requestedMs when the report was requested, milliseconds
     */
    void onReport(ReplicaLoad load, double requestedMs) {
        UnresolvedOrder unresolved = orders.get(load.instanceId());
        if (unresolved == null) {
            return;
        }
        boolean wasAccepted = load.acceptedOrders() > unresolved.acceptedBefore;
        boolean wasNotAccepted = requestedMs - unresolved.sentMs >= REPORT_DELAY_MS;
        if (wasAccepted || wasNotAccepted) {
            orders.remove(load.instanceId());
        }
    }

    /** Removes orders to instances that are no longer running. */
    void retain(Set<String> runningInstances) {
        orders.keySet().retainAll(runningInstances);
    }

    /** The services that have an unresolved order. */
    Set<String> services() {
        Set<String> services = new HashSet<>();
        orders.values().forEach(unresolved -> services.add(unresolved.service));
        return services;
    }
}
