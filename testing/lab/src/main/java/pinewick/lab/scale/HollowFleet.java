package pinewick.lab.scale;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All hollow routers, spread over several processes. */
final class HollowFleet implements AutoCloseable {
    private static final long POLL_MS = 50;

    private final List<HollowRoutersProcess> workers = new ArrayList<>();
    private final int routers;

    HollowFleet(ScalePlan plan, FleetAddresses addresses, long seed, Path folder) throws IOException {
        routers = plan.routers();
        for (int worker = 0; worker < plan.workers(); worker++) {
            workers.add(new HollowRoutersProcess(
                    addresses,
                    worker,
                    plan.routersOf(worker),
                    seed,
                    plan.maxLifetimeSeconds(),
                    folder.resolve("hollow-" + worker + ".log")));
        }
    }

    void awaitStart() throws IOException {
        for (HollowRoutersProcess worker : workers) {
            worker.awaitStart();
        }
    }

    int routers() {
        return routers;
    }

    List<HollowRoutersProcess> workers() {
        return workers;
    }

    /** Sends a command to each process in turn and returns the responses. */
    List<JsonObject> send(String command) throws IOException {
        List<JsonObject> responses = new ArrayList<>();
        for (HollowRoutersProcess worker : workers) {
            responses.add(worker.send(command));
        }
        return responses;
    }

    /** The minimum of a value over all processes. */
    static long min(List<JsonObject> responses, String name) {
        return responses.stream()
                .mapToLong(response -> response.get(name).getAsLong())
                .min()
                .orElse(0);
    }

    static long max(List<JsonObject> responses, String name) {
        return responses.stream()
                .mapToLong(response -> response.get(name).getAsLong())
                .max()
                .orElse(0);
    }

    static double sum(List<JsonObject> responses, String name) {
        return responses.stream()
                .mapToDouble(response -> response.get(name).getAsDouble())
                .sum();
    }

    /**
     * Waits until every router has received an update, or until {@code timeoutMs} have passed.
     *
     * @return the delays of the routers that received it, from {@code fromNs}, and the number of those that did not
     * @throws IOException if a process has ended
     */
    PropagationDelay await(String command, long fromNs, long timeoutMs) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (true) {
            List<Long> times = new ArrayList<>();
            for (HollowRoutersProcess worker : workers) {
                times.addAll(worker.times(command));
            }
            long missing = times.stream().filter(time -> time == 0).count();
            if (missing == 0 || System.nanoTime() > deadlineNs) {
                return PropagationDelay.of(times, fromNs, (int) missing);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Waits until the statistics of all processes fulfil a condition; returns whether they did in time. */
    boolean awaitFigures(java.util.function.Predicate<List<JsonObject>> condition, long timeoutMs)
            throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.test(send("figures"))) {
            if (System.nanoTime() > deadlineNs) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    /** CPU time used so far by all processes, milliseconds. */
    double cpuMs() {
        return workers.stream().mapToDouble(worker -> worker.usage().cpuMs()).sum();
    }

    /** Message and byte counts of all routers since the last counter reset, by direction and type. */
    Map<String, long[]> traffic() throws IOException {
        Map<String, long[]> sums = new TreeMap<>();
        for (JsonObject response : send("traffic")) {
            response.getAsJsonObject("types").entrySet().forEach(entry -> add(sums, entry));
        }
        return sums;
    }

    private static void add(Map<String, long[]> sums, Map.Entry<String, JsonElement> entry) {
        JsonArray counts = entry.getValue().getAsJsonArray();
        long[] sum = sums.computeIfAbsent(entry.getKey(), name -> new long[counts.size()]);
        for (int i = 0; i < sum.length; i++) {
            sum[i] += counts.get(i).getAsLong();
        }
    }

    @Override
    public void close() {
        workers.forEach(HollowRoutersProcess::close);
    }
}
