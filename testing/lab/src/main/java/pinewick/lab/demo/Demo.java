package pinewick.lab.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.Operator;

/** Runs a small fleet for up to 24 seconds of scripted events and prints one line per event. */
public final class Demo {
    private static final Duration TIME_LIMIT = Duration.ofSeconds(24);
    private static final long MAX_PROCESS_SECONDS = 29;
    private static final Duration STEADY_PERIOD = Duration.ofSeconds(2);
    private static final Duration DRAIN_PERIOD = Duration.ofSeconds(2);
    private static final Duration MARGIN_AFTER_DRAIN = Duration.ofSeconds(1);
    private static final long FIRST_VERSION = 1;
    private static final long SECOND_VERSION = 2;
    private static final double NS_PER_MS = 1e6;
    private static final double NS_PER_SECOND = 1e9;

    private final PrintStream output;
    private final long startNs = System.nanoTime();
    private final TimeLimit timeLimit = new TimeLimit(TIME_LIMIT, System::nanoTime);
    private final HttpPeer http = new HttpPeer();
    private final RequestTally tally = new RequestTally();

    public Demo(PrintStream output) {
        this.output = output;
    }

    /** Runs the demo; returns whether every expected event occurred. Leaves no process and no file behind. */
    public boolean run() throws IOException, InterruptedException {
        DemoFleet fleet = new DemoFleet(http, MAX_PROCESS_SECONDS);
        Thread shutdownHook = new Thread(() -> closeQuietly(fleet), "demo-end");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        boolean passed = false;
        try (fleet) {
            runScenario(fleet);
            passed = true;
        } catch (DemoFailedException e) {
            print("failed: " + e.getMessage());
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        print(passed ? "passed: all processes stopped, temporary files deleted" : "ended with a failure");
        return passed;
    }

    private static void closeQuietly(DemoFleet fleet) {
        try {
            fleet.close();
        } catch (IOException e) {
            System.err.println("pinewick-lab: " + e.getMessage());
        }
    }

    private void runScenario(DemoFleet fleet) throws DemoFailedException, IOException, InterruptedException {
        print("starting " + DemoFleet.CONTROLLERS + " controllers and " + DemoFleet.ROUTERS
                + " routers, each in its own process");
        fleet.start();
        timeLimit.await("the controllers to respond", fleet::allControllersRespond);
        Operator operator = new Operator(http, fleet.controlPlanes());
        configure(operator);
        try (DemoReplicas replicas = new DemoReplicas(http, fleet.controlPlanes());
                DemoClients clients = new DemoClients(fleet.frontends(), tally)) {
            timeLimit.await("heartbeats to be acknowledged", replicas::allAcknowledged);
            print(DemoReplicas.count("prefill") + " prefill and " + DemoReplicas.count("decode")
                    + " decode replicas: heartbeats acknowledged");
            timeLimit.await("the routers to be ready", fleet::allRoutersReady);
            print("all routers are ready; clients start to request streams");
            clients.start();
            timeLimit.sleep(STEADY_PERIOD);
            printRequests(replicas);
            drainReplica(replicas);
            killPrimary(fleet, operator, clients);
            timeLimit.sleep(STEADY_PERIOD);
            clients.close();
            printRequests(replicas);
            checkRequests(replicas);
        }
    }

    private void configure(Operator operator) throws InterruptedException {
        Operator.Change change = operator.replace(DemoConfiguration.initial(FIRST_VERSION));
        print("configuration " + change.version() + " acknowledged after " + milliseconds(change));
    }

    private void drainReplica(DemoReplicas replicas) throws DemoFailedException, InterruptedException {
        int drained = DemoReplicas.DRAINED_REPLICA;
        long streamsBefore = replicas.replica(drained).startedRequests();
        replicas.drain(drained);
        timeLimit.await("the drain to be acknowledged", () -> replicas.drainAcknowledgedNs(drained) != 0);
        print("drain of a decode replica that served " + streamsBefore + " streams: acknowledged");
        timeLimit.sleep(DRAIN_PERIOD.plus(MARGIN_AFTER_DRAIN));
        long drainEndNs = replicas.drainAcknowledgedNs(drained) + DRAIN_PERIOD.toNanos();
        if (streamsBefore > 0 && replicas.replica(drained).lastRequestNs() > drainEndNs) {
            throw new DemoFailedException("a request reached the draining replica after the drain period");
        }
        timeLimit.await("the deregistration of the replica to be acknowledged", () -> replicas.deregister(drained));
        print("it received no request later than " + DRAIN_PERIOD.toSeconds() + " s after that; deregistered");
    }

    private void killPrimary(DemoFleet fleet, Operator operator, DemoClients clients)
            throws DemoFailedException, IOException, InterruptedException {
        timeLimit.await("a primary", () -> fleet.primary().isPresent());
        int primary = fleet.primary().orElse(0);
        fleet.controller(primary).kill();
        print("controller " + primary + ", the primary, killed");
        Operator.Change change = operator.update(DemoConfiguration.withSecondRoute(SECOND_VERSION));
        print("configuration " + change.version()
                + ", which adds a route, acknowledged by the remaining controllers after " + milliseconds(change));
        fleet.controller(primary).start();
        timeLimit.await("the restarted controller to catch up", () -> fleet.version(primary) >= SECOND_VERSION);
        print("controller " + primary + " restarted and has configuration " + SECOND_VERSION);
        clients.useRoute(DemoConfiguration.SECOND_PATH);
        print("clients now use the new route");
    }

    private void printRequests(DemoReplicas replicas) {
        print(tally.completedCount() + " requests completed, " + replicas.issuedHandles()
                + " prompts read by prefill replicas, " + tally.retriedCount() + " rejected and retried, "
                + tally.failedRequests().size() + " failed");
    }

    private void checkRequests(DemoReplicas replicas) throws DemoFailedException {
        List<String> failedRequests = tally.failedRequests();
        failedRequests.forEach(request -> print("failed request " + request));
        if (!failedRequests.isEmpty()) {
            throw new DemoFailedException(failedRequests.size() + " requests failed");
        }
        if (replicas.handleMismatches() > 0) {
            throw new DemoFailedException(
                    replicas.handleMismatches() + " requests used the KV handle of another request");
        }
        if (tally.completedCount() == 0 || replicas.issuedHandles() == 0) {
            throw new DemoFailedException("no request was served by a prefill and a decode replica");
        }
        print("no request failed");
    }

    private static String milliseconds(Operator.Change change) {
        return Math.round((change.acknowledgedNs() - change.sentNs()) / NS_PER_MS) + " ms";
    }

    private void print(String event) {
        double seconds = (System.nanoTime() - startNs) / NS_PER_SECOND;
        output.println(String.format(Locale.ROOT, "%5.1f s  %s", seconds, event));
    }
}
