package pinewick.lab.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.Operator;

/** A whole small fleet, played for some seconds; each thing that happens is told in a line. */
public final class Demo {
    private static final Duration TOTAL = Duration.ofSeconds(24);
    private static final long LONGEST_SECONDS = 29;
    private static final Duration CALM = Duration.ofSeconds(2);
    private static final Duration DRAIN = Duration.ofSeconds(2);
    private static final Duration AFTER_DRAIN = Duration.ofSeconds(1);
    private static final long FIRST_VERSION = 1;
    private static final long SECOND_VERSION = 2;
    private static final double NS_A_MS = 1e6;
    private static final double NS_A_SECOND = 1e9;

    private final PrintStream output;
    private final long fromNs = System.nanoTime();
    private final TimeLimit limit = new TimeLimit(TOTAL, System::nanoTime);
    private final HttpPeer http = new HttpPeer();
    private final RequestTally tally = new RequestTally();

    public Demo(PrintStream output) {
        this.output = output;
    }

    /** Plays; returns whether everything happened as it should. Leaves no process and no file behind. */
    public boolean play() throws IOException, InterruptedException {
        DemoFleet fleet = new DemoFleet(http, LONGEST_SECONDS);
        Thread whenInterrupted = new Thread(() -> closeQuietly(fleet), "demo-end");
        Runtime.getRuntime().addShutdownHook(whenInterrupted);
        boolean passed = false;
        try (fleet) {
            playOn(fleet);
            passed = true;
        } catch (DemoFailedException e) {
            tell("failed: " + e.getMessage());
        }
        Runtime.getRuntime().removeShutdownHook(whenInterrupted);
        tell(passed ? "passed: everything has ended, nothing is left behind" : "ended without having passed");
        return passed;
    }

    private static void closeQuietly(DemoFleet fleet) {
        try {
            fleet.close();
        } catch (IOException e) {
            System.err.println("pinewick-lab: " + e.getMessage());
        }
    }

    private void playOn(DemoFleet fleet) throws DemoFailedException, IOException, InterruptedException {
        tell("starting " + DemoFleet.CONTROLLERS + " controllers and " + DemoFleet.ROUTERS
                + " routers, each a process of its own");
        fleet.start();
        limit.await("the controllers to answer", fleet::allControllersAnswer);
        Operator operator = new Operator(http, fleet.controlPlanes());
        configure(operator);
        try (DemoReplicas replicas = new DemoReplicas(http, fleet.controlPlanes());
                DemoClients clients = new DemoClients(fleet.frontends(), tally)) {
            limit.await("heartbeats to be acknowledged", replicas::allKnown);
            tell(DemoReplicas.count("prefill") + " prefill and " + DemoReplicas.count("decode")
                    + " decode replicas: their heartbeats are acknowledged");
            limit.await("the routers to be ready", fleet::allRoutersReady);
            tell("all routers are ready; clients begin to ask for streams");
            clients.start();
            limit.pass(CALM);
            tellRequests(replicas);
            drainOne(replicas);
            loseController(fleet, operator, clients);
            limit.pass(CALM);
            clients.close();
            tellRequests(replicas);
            check(replicas);
        }
    }

    private void configure(Operator operator) throws InterruptedException {
        Operator.Change change = operator.replace(DemoConfiguration.initial(FIRST_VERSION));
        tell("configuration " + change.version() + " acknowledged after " + milliseconds(change));
    }

    private void drainOne(DemoReplicas replicas) throws DemoFailedException, InterruptedException {
        int leaving = DemoReplicas.LEAVING;
        long before = replicas.replica(leaving).requests();
        replicas.drain(leaving);
        limit.await("the drain to be acknowledged", () -> replicas.drainAcknowledgedNs(leaving) != 0);
        tell("a decode replica that has served " + before + " streams says it drains: acknowledged");
        limit.pass(DRAIN.plus(AFTER_DRAIN));
        long latestNs = replicas.drainAcknowledgedNs(leaving) + DRAIN.toNanos();
        if (before > 0 && replicas.replica(leaving).lastRequestNs() > latestNs) {
            throw new DemoFailedException("a request reached the drained replica too late");
        }
        limit.await("the replica's end to be acknowledged", () -> replicas.deregister(leaving));
        tell("no request has come to it later than " + DRAIN.toSeconds() + " s after that; it has left");
    }

    private void loseController(DemoFleet fleet, Operator operator, DemoClients clients)
            throws DemoFailedException, IOException, InterruptedException {
        limit.await("a primary", () -> fleet.primary().isPresent());
        int lost = fleet.primary().orElse(0);
        fleet.controller(lost).kill();
        tell("controller " + lost + ", the primary, is killed");
        Operator.Change change = operator.update(DemoConfiguration.withSecondRoute(SECOND_VERSION));
        tell("configuration " + change.version() + ", with one more route, acknowledged by the others after "
                + milliseconds(change));
        fleet.controller(lost).start();
        limit.await("the controller to come back", () -> fleet.version(lost) >= SECOND_VERSION);
        tell("controller " + lost + " is back and holds configuration " + SECOND_VERSION);
        clients.useRoute(DemoConfiguration.SECOND_PATH);
        tell("clients use the new route from now on");
    }

    private void tellRequests(DemoReplicas replicas) {
        tell(tally.answeredCount() + " requests answered, " + replicas.handlesIssued()
                + " prompts read by prefill replicas, " + tally.repeatedCount() + " refused and sent again, "
                + tally.lostRequests().size() + " lost");
    }

    private void check(DemoReplicas replicas) throws DemoFailedException {
        List<String> lost = tally.lostRequests();
        lost.forEach(request -> tell("lost " + request));
        if (!lost.isEmpty()) {
            throw new DemoFailedException(lost.size() + " requests were lost");
        }
        if (replicas.mixedUp() > 0) {
            throw new DemoFailedException(replicas.mixedUp() + " requests came with the handle of another one");
        }
        if (tally.answeredCount() == 0 || replicas.handlesIssued() == 0) {
            throw new DemoFailedException("no request was answered by a pair of replicas");
        }
        tell("no request was lost");
    }

    private static String milliseconds(Operator.Change change) {
        return Math.round((change.acknowledgedNs() - change.sentNs()) / NS_A_MS) + " ms";
    }

    private void tell(String what) {
        double seconds = (System.nanoTime() - fromNs) / NS_A_SECOND;
        output.println(String.format(Locale.ROOT, "%5.1f s  %s", seconds, what));
    }
}
