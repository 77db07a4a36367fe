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

/** All hollow routers, over their processes. */
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
                    plan.longestSeconds(),
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

    /** Sends a command to all, one after the other, and returns their answers. */
    List<JsonObject> ask(String command) throws IOException {
        List<JsonObject> answers = new ArrayList<>();
        for (HollowRoutersProcess worker : workers) {
            answers.add(worker.ask(command));
        }
        return answers;
    }

    /** The least, the greatest or the sum of a figure over all processes. */
    static long least(List<JsonObject> answers, String name) {
        return answers.stream()
                .mapToLong(answer -> answer.get(name).getAsLong())
                .min()
                .orElse(0);
    }

    static long most(List<JsonObject> answers, String name) {
        return answers.stream()
                .mapToLong(answer -> answer.get(name).getAsLong())
                .max()
                .orElse(0);
    }

    static double sum(List<JsonObject> answers, String name) {
        return answers.stream()
                .mapToDouble(answer -> answer.get(name).getAsDouble())
                .sum();
    }

    /**
     * Waits until every router has learnt of something.
     *
     * @return for each router after how long, milliseconds from {@code fromNs}; negative if it knew before
     * @throws IOException if one has not within {@code longestMs}
     */
    PropagationDelay await(String command, long fromNs, long longestMs) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + longestMs * 1_000_000;
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

    /** Waits until a figure of every process fulfils a condition; returns whether it did. */
    boolean awaitFigures(java.util.function.Predicate<List<JsonObject>> holds, long longestMs)
            throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + longestMs * 1_000_000;
        while (!holds.test(ask("figures"))) {
            if (System.nanoTime() > deadlineNs) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    /** Processor time of all processes so far, milliseconds. */
    double cpuMs() {
        return workers.stream().mapToDouble(worker -> worker.usage().cpuMs()).sum();
    }

    /** Messages and bytes of all routers since the last restart of the counters, by way and type. */
    Map<String, long[]> traffic() throws IOException {
        Map<String, long[]> sums = new TreeMap<>();
        for (JsonObject answer : ask("traffic")) {
            answer.getAsJsonObject("types").entrySet().forEach(entry -> add(sums, entry));
        }
        return sums;
    }

    private static void add(Map<String, long[]> sums, Map.Entry<String, JsonElement> entry) {
        JsonArray figures = entry.getValue().getAsJsonArray();
        long[] sum = sums.computeIfAbsent(entry.getKey(), name -> new long[figures.size()]);
        for (int i = 0; i < sum.length; i++) {
            sum[i] += figures.get(i).getAsLong();
        }
    }

    @Override
    public void close() {
        workers.forEach(HollowRoutersProcess::close);
    }
}
