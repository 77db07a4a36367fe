package pinewick.dial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Distinguishes a hung network path from a hung back end, for one back end. No I/O; times are in seconds. A path that
 * has responses outstanding and has received nothing for a while is suspect; then another address is probed. If that
 * one answers, the path is at fault: it is ejected, gets no new requests and backs off. If it is silent as well, the
 * back end is at fault and nothing is decided here; the mixer's scheduler handles the silence as for any back end. A
 * request written to a silent path may have been executed, so it is never moved.
 */
public final class PathMonitor {
    /** Carries out what the monitor decides. */
    public interface Transport {
        void probe(Address address);

        /** Ejects the path: it gets no new requests, and its calls not yet written go to another path as never sent. */
        void eject(Address address);
    }

    private static final class Path {
        int pendingResponses;
        double waitingSince;
        double receivedAt = Double.NEGATIVE_INFINITY;
        double probedAt = Double.NaN;
        boolean ejected;
    }

    private final double silenceTimeoutSeconds;
    private final double probeTimeoutSeconds;
    private final AddressHistory history;
    private final Transport transport;
    private final Map<Address, Path> paths = new LinkedHashMap<>();

    /**
     * @param silenceTimeoutSeconds time with responses outstanding and nothing received after which a path is suspect
     * @param probeTimeoutSeconds time after which an unanswered probe of another path is repeated
     */
    public PathMonitor(
            double silenceTimeoutSeconds, double probeTimeoutSeconds, AddressHistory history, Transport transport) {
        this.silenceTimeoutSeconds = silenceTimeoutSeconds;
        this.probeTimeoutSeconds = probeTimeoutSeconds;
        this.history = history;
        this.transport = transport;
    }

    private Path path(Address address) {
        return paths.computeIfAbsent(address, key -> new Path());
    }

    /** A request that expects a response was written to the path. */
    public void onRequestSent(Address address, double now) {
        Path path = path(address);
        if (path.pendingResponses++ == 0) {
            path.waitingSince = now;
        }
    }

    /** An outstanding request ended without a response: cancelled, timed out, or its connection was closed. */
    public void onRequestAbandoned(Address address) {
        Path path = path(address);
        path.pendingResponses = Math.max(0, path.pendingResponses - 1);
    }

    /** Data was received on the path; it completes {@code responses} of the outstanding requests. */
    public void onDataReceived(Address address, double now, int responses) {
        Path path = path(address);
        path.receivedAt = now;
        path.probedAt = Double.NaN;
        path.pendingResponses = Math.max(0, path.pendingResponses - responses);
        path.waitingSince = now;
        path.ejected = false;
        history.onDataReceived(address, now);
        for (Map.Entry<Address, Path> each : List.copyOf(paths.entrySet())) {
            if (isSuspect(each.getValue(), now)
                    && !each.getValue().ejected
                    && !each.getKey().equals(address)) {
                // Both paths lead to the same back end, and this one has delivered data since the other fell silent.
                each.getValue().ejected = true;
                history.onFailure(each.getKey(), now);
                transport.eject(each.getKey());
            }
        }
    }

    private boolean isSuspect(Path path, double now) {
        return path.pendingResponses > 0 && now - Math.max(path.receivedAt, path.waitingSince) >= silenceTimeoutSeconds;
    }

    public boolean isEjected(Address address) {
        return paths.containsKey(address) && paths.get(address).ejected;
    }

    /** Checks for suspect paths and probes another path; to be called periodically. */
    public void tick(double now) {
        boolean hasSuspect = false;
        for (Path each : paths.values()) {
            hasSuspect |= isSuspect(each, now) && !each.ejected;
        }
        if (!hasSuspect) {
            return;
        }
        for (Address each : new ArrayList<>(history.attemptOrder(now))) {
            Path other = path(each);
            if (!isSuspect(other, now) && !other.ejected) {
                if (Double.isNaN(other.probedAt) || now - other.probedAt >= probeTimeoutSeconds) {
                    other.probedAt = now;
                    transport.probe(each);
                }
                return;
            }
        }
    }
}
