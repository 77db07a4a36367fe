package pinewick.state;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.core.SchedulerHost;

/** The address and lifecycle state of each replica, and the connections to it. */
public final class ReplicaDirectory {
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, SchedulerHost.LifecycleState> states = new LinkedHashMap<>();
    private final Map<String, List<OutboundConnection>> connections = new LinkedHashMap<>();
    private int openCount;

    /** Applies an entry of the replica list; the address may be null. Returns whether a known address changed. */
    public boolean update(SchedulerHost.ReplicaEntry entry, InetSocketAddress address) {
        states.put(entry.replicaId(), entry.state());
        if (address == null) {
            return false;
        }
        InetSocketAddress before = addresses.put(entry.replicaId(), address);
        return before != null && !before.equals(address);
    }

    /** Marks all replicas as gone before a full list is applied: replicas that it does not name are gone. */
    public void markAllGone() {
        states.replaceAll((id, state) -> SchedulerHost.LifecycleState.GONE);
    }

    /** Whether the replica accepts new shard requests. */
    public boolean isReady(String id) {
        return states.get(id) == SchedulerHost.LifecycleState.READY;
    }

    /** Removes replicas that are gone and have no connection left. */
    public void prune() {
        states.entrySet().removeIf(each -> {
            boolean removable = each.getValue() == SchedulerHost.LifecycleState.GONE
                    && connections(each.getKey()).isEmpty();
            if (removable) {
                addresses.remove(each.getKey());
                connections.remove(each.getKey());
            }
            return removable;
        });
    }

    /** The replica's address; null if unknown. */
    public InetSocketAddress address(String id) {
        return addresses.get(id);
    }

    public List<OutboundConnection> connections(String id) {
        return connections.getOrDefault(id, List.of());
    }

    public List<OutboundConnection> allConnections() {
        List<OutboundConnection> all = new ArrayList<>();
        connections.values().forEach(all::addAll);
        return all;
    }

    public void add(OutboundConnection connection) {
        connections
                .computeIfAbsent(connection.replicaId(), any -> new ArrayList<>())
                .add(connection);
        openCount++;
    }

    public void remove(OutboundConnection connection) {
        if (connections.containsKey(connection.replicaId())
                && connections.get(connection.replicaId()).remove(connection)) {
            openCount--;
        }
    }

    /** The number of connections that have not been closed. */
    public int openCount() {
        return openCount;
    }
}
