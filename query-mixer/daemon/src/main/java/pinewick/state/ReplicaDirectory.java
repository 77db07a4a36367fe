package pinewick.state;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.core.SchedulerHost;

/** Where searchers listen, whether they take new parts, and the connections that lead there. */
public final class ReplicaDirectory {
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, SchedulerHost.LifecycleState> stages = new LinkedHashMap<>();
    private final Map<String, List<OutboundConnection>> links = new LinkedHashMap<>();
    private int open;

    /** True where the address has changed. */
    public boolean listed(SchedulerHost.ReplicaEntry entry, InetSocketAddress address) {
        stages.put(entry.replicaId(), entry.state());
        if (address == null) {
            return false;
        }
        InetSocketAddress before = addresses.put(entry.replicaId(), address);
        return before != null && !before.equals(address);
    }

    /** A whole list has come: what it does not name is gone. */
    public void allGone() {
        stages.replaceAll((id, stage) -> SchedulerHost.LifecycleState.GONE);
    }

    public boolean takesNew(String id) {
        return stages.get(id) == SchedulerHost.LifecycleState.READY;
    }

    /** Forgets searchers that are gone and have no connection left. */
    public void prune() {
        stages.entrySet().removeIf(each -> {
            boolean done = each.getValue() == SchedulerHost.LifecycleState.GONE
                    && links(each.getKey()).isEmpty();
            if (done) {
                addresses.remove(each.getKey());
                links.remove(each.getKey());
            }
            return done;
        });
    }

    public InetSocketAddress address(String id) {
        return addresses.get(id);
    }

    public List<OutboundConnection> links(String id) {
        return links.getOrDefault(id, List.of());
    }

    public List<OutboundConnection> allLinks() {
        List<OutboundConnection> all = new ArrayList<>();
        links.values().forEach(all::addAll);
        return all;
    }

    public void add(OutboundConnection link) {
        links.computeIfAbsent(link.searcher(), any -> new ArrayList<>()).add(link);
        open++;
    }

    public void remove(OutboundConnection link) {
        if (links.containsKey(link.searcher()) && links.get(link.searcher()).remove(link)) {
            open--;
        }
    }

    public int open() {
        return open;
    }
}
