package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells a hung path from a hung searcher, for one searcher. No I/O; times in seconds. A path with something owed and
 * nothing heard for a while is suspect; then another address is probed. If that one answers, the path is at fault, gets
 * nothing new and rests; if it is silent as well, it is the searcher, and nothing is decided here: the mixer's
 * decisions see silence as they always did. What was written on a silent path may have run: it is never moved.
 */
public final class PathMonitor {
    /** What the watch asks for. */
    public interface Wire {
        void probe(Address address);

        /** The path is at fault: it gets nothing new, its unwritten launches go elsewhere as never sent. */
        void aside(Address address);
    }

    private static final class Path {
        int owed;
        double oldestOwed;
        double heardAt = Double.NEGATIVE_INFINITY;
        double probedAt = Double.NaN;
        boolean aside;
    }

    private final double silence;
    private final double probeWait;
    private final AddressHistory book;
    private final Wire wire;
    private final Map<Address, Path> paths = new LinkedHashMap<>();

    /**
     * @param silence seconds with something owed and nothing heard that make a path suspect
     * @param probeWait seconds within which another path's probe must be answered
     */
    public PathMonitor(double silence, double probeWait, AddressHistory book, Wire wire) {
        this.silence = silence;
        this.probeWait = probeWait;
        this.book = book;
        this.wire = wire;
    }

    private Path path(Address address) {
        return paths.computeIfAbsent(address, any -> new Path());
    }

    /** Something was written there that is to be answered. */
    public void owed(Address address, double now) {
        Path path = path(address);
        if (path.owed++ == 0) {
            path.oldestOwed = now;
        }
    }

    /** Something owed there was settled without being heard: given up, timed out, or its connection is gone. */
    public void dropped(Address address) {
        Path path = path(address);
        path.owed = Math.max(0, path.owed - 1);
    }

    /** Bytes came; {@code answers} of what was owed are settled by them. */
    public void heard(Address address, double now, int answers) {
        Path path = path(address);
        path.heardAt = now;
        path.probedAt = Double.NaN;
        path.owed = Math.max(0, path.owed - answers);
        path.oldestOwed = now;
        path.aside = false;
        book.served(address, now);
        for (Map.Entry<Address, Path> each : List.copyOf(paths.entrySet())) {
            if (suspect(each.getValue(), now)
                    && !each.getValue().aside
                    && !each.getKey().equals(address)) {
                // Both are of one searcher, and this one speaks since the other fell silent.
                each.getValue().aside = true;
                book.failed(each.getKey(), now);
                wire.aside(each.getKey());
            }
        }
    }

    private boolean suspect(Path path, double now) {
        return path.owed > 0 && now - Math.max(path.heardAt, path.oldestOwed) >= silence;
    }

    public boolean aside(Address address) {
        return paths.containsKey(address) && paths.get(address).aside;
    }

    /** Looks for suspects and asks another path; to be called now and then. */
    public void tick(double now) {
        boolean suspects = false;
        for (Path each : paths.values()) {
            suspects |= suspect(each, now) && !each.aside;
        }
        if (!suspects) {
            return;
        }
        for (Address each : new ArrayList<>(book.order(now))) {
            Path other = path(each);
            if (!suspect(other, now) && !other.aside) {
                if (Double.isNaN(other.probedAt) || now - other.probedAt >= probeWait) {
                    other.probedAt = now;
                    wire.probe(each);
                }
                return;
            }
        }
    }
}
