package pinewick.lab.scale;

import java.util.List;
import java.util.Optional;
import pinewick.model.ConfigurationDocument;
import pinewick.model.SocketAddress;

/**
 * Changes the configuration through the operator API if the controllers have a store. Otherwise a hollow controller
 * publishes the configuration as if it had been committed.
 */
public final class Operator {
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 20;
    private static final long RETRY_DELAY_MS = 100;

    private final HttpPeer http;
    private final List<SocketAddress> controllers;
    private final Optional<HollowNode> fallback;
    private ConfigurationDocument current = ConfigurationDocument.EMPTY;
    private boolean committedByStore = true;

    Operator(HttpPeer http, List<SocketAddress> controllers, HollowNode fallback) {
        this.http = http;
        this.controllers = controllers;
        this.fallback = Optional.of(fallback);
    }

    /** An operator without a fallback: a change that no controller acknowledges fails. */
    public Operator(HttpPeer http, List<SocketAddress> controllers) {
        this.http = http;
        this.controllers = controllers;
        this.fallback = Optional.empty();
    }

    /**
     * A completed change.
     *
     * @param version the resulting version
     * @param sentNs when it was sent, nanoseconds
     * @param acknowledgedNs when it was acknowledged, nanoseconds; equal to the time of sending if there is no store
     */
    public record Change(long version, long sentNs, long acknowledgedNs) {}

    /** Whether the controllers' store commits the changes. */
    boolean committedByStore() {
        return committedByStore;
    }

    public long version() {
        return current.version();
    }

    /** Replaces the configuration with one that has this many routes. */
    Change replace(int routes) throws InterruptedException {
        long version = current.version() + 1;
        return replace(SampleConfiguration.replacement(version, routes));
    }

    /** Changes one route. */
    Change update() throws InterruptedException {
        return update(SampleConfiguration.update(current.version() + 1));
    }

    /** Replaces the configuration. */
    public Change replace(byte[] body) throws InterruptedException {
        return change("/config/replace", body, true);
    }

    /** Updates single items of the configuration. */
    public Change update(byte[] body) throws InterruptedException {
        return change("/config/update", body, false);
    }

    private Change change(String path, byte[] body, boolean replacement) throws InterruptedException {
        ConfigurationDocument next = SampleConfiguration.apply(current, body, replacement);
        long sentNs = System.nanoTime();
        committedByStore = committedByStore && submit(path, body);
        if (!committedByStore) {
            sentNs = fallback.orElseThrow(
                            () -> new IllegalStateException("no controller acknowledged version " + next.version()))
                    .commit(next);
        }
        current = next;
        return new Change(next.version(), sentNs, committedByStore ? System.nanoTime() : sentNs);
    }

    private boolean submit(String path, byte[] body) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            SocketAddress controller = controllers.get(attempt % controllers.size());
            if (http.change(controller, path, current.version(), body) == OK) {
                return true;
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
        return false;
    }
}
