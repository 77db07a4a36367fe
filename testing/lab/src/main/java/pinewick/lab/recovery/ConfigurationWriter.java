package pinewick.lab.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.SampleConfiguration;

/** An operator that sends each change to the controllers in turn until one acknowledges it. */
final class ConfigurationWriter {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final long TIMEOUT_MS = 30_000;
    private static final long RETRY_DELAY_MS = 20;
    private static final int OK = 200;
    private static final int CONFLICT = 412;
    private static final int INVALID = 400;

    private final Cluster cluster;
    private final HttpPeer http = new HttpPeer(REQUEST_TIMEOUT);
    private volatile long version;
    private int lastController;

    ConfigurationWriter(Cluster cluster) {
        this.cluster = cluster;
    }

    /** The last acknowledged version. */
    long version() {
        return version;
    }

    /** Replaces the document with one of this many routes; returns the acknowledgement time, milliseconds. */
    double replace(int routes) throws InterruptedException {
        return change("/config/replace", SampleConfiguration.replacement(version + 1, routes), cluster.running());
    }

    /** Changes one route; returns the acknowledgement time, milliseconds. */
    double touch() throws InterruptedException {
        return touch(cluster.running());
    }

    /** Changes one route through the given controllers only; returns the acknowledgement time, milliseconds. */
    synchronized double touch(List<Integer> controllers) throws InterruptedException {
        return change("/config/update", SampleConfiguration.touch(version + 1), controllers);
    }

    private synchronized double change(String path, byte[] body, List<Integer> controllers)
            throws InterruptedException {
        long sentNs = System.nanoTime();
        List<Integer> order = new ArrayList<>(controllers);
        order.sort((first, second) -> Boolean.compare(second == lastController, first == lastController));
        for (int attempt = 0; Polling.ms(sentNs, System.nanoTime()) < TIMEOUT_MS; attempt++) {
            int controller = order.get(attempt % order.size());
            int status = http.change(cluster.controlPlane(controller), path, version, body);
            if (status == OK) {
                lastController = controller;
                version++;
                return Polling.ms(sentNs, System.nanoTime());
            }
            if (status == CONFLICT || status == INVALID) {
                throw new IllegalStateException("change to version " + (version + 1) + " got status " + status);
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
        throw new IllegalStateException("no controller acknowledged version " + (version + 1));
    }
}
