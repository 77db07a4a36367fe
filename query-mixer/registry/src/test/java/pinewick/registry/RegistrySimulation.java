package pinewick.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import pinewick.standins.RegistryState;

/** A registry of several members and one watcher that follows it, in virtual time; faults are injected per member. */
final class RegistrySimulation implements PrefixWatcher.Transport {
    static final String PREFIX = "s/";
    static final String END = "s0";

    /** One member: the state it serves (its own copy while partitioned) and its faults. */
    static final class Member {
        RegistryState staleState;
        boolean down;
        boolean silent;
        boolean watchSilent;
        String cluster = "c1";
        double delaySeconds = 0.002;
    }

    private record ScheduledEvent(double at, long sequence, Runnable action) {}

    private record OpenWatch(int endpoint, long[] next) {}

    final RegistryState registry = new RegistryState();
    final List<Member> members = new ArrayList<>();
    final List<ViewUpdate> updates = new ArrayList<>();
    final List<String> messages = new ArrayList<>();
    final SplittableRandom random;
    RegistryView view = new RegistryView(PREFIX);
    PrefixWatcher watcher;
    double now;
    int valueLimit = 4096;
    boolean fragmentWatch;
    /** Time that each key of a page costs the member. */
    double delayPerKeySeconds;
    /** Runs after each update of the view; tests check the view here. */
    Runnable afterUpdate = () -> {};

    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>((one, other) ->
            one.at != other.at ? Double.compare(one.at, other.at) : Long.compare(one.sequence, other.sequence));
    private final Map<Long, OpenWatch> watches = new LinkedHashMap<>();
    private long sequence;
    private long generation;

    RegistrySimulation(int count, long seed) {
        random = new SplittableRandom(seed);
        for (int each = 0; each < count; each++) {
            members.add(new Member());
        }
        watcher = new PrefixWatcher(PREFIX, view, PrefixWatcher.Settings.defaults(count), this, random.split());
    }

    static String value(int port, String phase) {
        return "{\"addresses\":[\"127.0.0.1:" + port + "\"],\"phase\":\"" + phase + "\"}";
    }

    private RegistryState state(int endpoint) {
        return members.get(endpoint).staleState != null ? members.get(endpoint).staleState : registry;
    }

    private void schedule(double delaySeconds, Runnable action) {
        queue.add(new ScheduledEvent(now + delaySeconds, sequence++, action));
    }

    /** Advances virtual time; the watcher is ticked every 20 ms. */
    void advance(double seconds) {
        double until = now + seconds;
        while (now < until) {
            double nextTick = Math.min(until, now + 0.02);
            pumpWatches();
            while (!queue.isEmpty() && queue.peek().at <= nextTick) {
                ScheduledEvent event = queue.poll();
                now = event.at;
                event.action.run();
            }
            now = nextTick;
            watcher.tick(now);
        }
    }

    /** Simulates a restart of the process, with or without the on-disk snapshot. */
    void restart(boolean fromSnapshot) {
        generation++;
        watcher.stop();
        queue.clear();
        watches.clear();
        RegistryView previous = view;
        view = new RegistryView(PREFIX);
        if (fromSnapshot && previous.revision() > 0) {
            SnapshotCodec.restore(
                    SnapshotCodec.decode(SnapshotCodec.encodeSnapshot(previous.revision(), previous.keyValues())),
                    view);
        }
        watcher =
                new PrefixWatcher(PREFIX, view, PrefixWatcher.Settings.defaults(members.size()), this, random.split());
        watcher.start(now);
    }

    /** Breaks all connections to a member. */
    void breakConnections(int endpoint) {
        for (long requestId : List.copyOf(watches.keySet())) {
            if (watches.get(requestId).endpoint == endpoint) {
                watches.remove(requestId);
                watcher.onFailure(now, requestId, "the connection broke");
            }
        }
    }

    private void respond(int endpoint, long requestId, java.util.function.Supplier<RegistryResponse> response) {
        respond(endpoint, requestId, 0, response);
    }

    private void respond(
            int endpoint, long requestId, int keys, java.util.function.Supplier<RegistryResponse> response) {
        Member member = members.get(endpoint);
        if (member.down) {
            schedule(member.delaySeconds, () -> watcher.onFailure(now, requestId, "refused"));
        } else if (!member.silent) {
            schedule(member.delaySeconds * (0.5 + random.nextDouble()) + keys * delayPerKeySeconds, () -> {
                if (!member.silent) {
                    RegistryResponse received = response.get();
                    if (received == null) {
                        watcher.onResponseTooLarge(now, requestId);
                    } else {
                        watcher.onResponse(now, requestId, received);
                    }
                }
            });
        }
    }

    private RegistryResponse response(
            int endpoint,
            List<KeyValue> keyValues,
            boolean more,
            long count,
            boolean created,
            long compacted,
            boolean fragment) {
        return new RegistryResponse(
                members.get(endpoint).cluster,
                "m" + endpoint,
                state(endpoint).revision(),
                keyValues,
                more,
                count,
                created,
                compacted > 0,
                compacted,
                fragment,
                null);
    }

    private static List<KeyValue> toKeyValues(List<RegistryState.Version> versions) {
        return versions.stream()
                .map(each -> new KeyValue(each.key(), each.value(), each.revision(), each.lease()))
                .toList();
    }

    @Override
    public void range(long requestId, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        respond(endpoint, requestId, limit, () -> {
            try {
                RegistryState.Page page = state(endpoint).range(from, END, atRevision, limit);
                boolean exceedsLimit = page.keys().stream()
                                .mapToInt(each -> each.value().length)
                                .sum()
                        > valueLimit;
                return exceedsLimit && !keysOnly
                        ? null
                        : response(endpoint, toKeyValues(page.keys()), page.more(), page.count(), false, 0, false);
            } catch (RegistryState.Compacted e) {
                return new RegistryResponse("", "", 0, List.of(), false, 0, false, false, 0, false, e.getMessage());
            }
        });
    }

    @Override
    public void probe(long requestId, int endpoint) {
        respond(endpoint, requestId, () -> {
            try {
                RegistryState.Version newest = state(endpoint).newest(PREFIX, END);
                long count = state(endpoint).range(PREFIX, END, 0, 1).count();
                return response(
                        endpoint,
                        newest == null ? List.of() : toKeyValues(List.of(newest)),
                        false,
                        count,
                        false,
                        0,
                        false);
            } catch (RegistryState.Compacted e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override
    public void watch(long requestId, int endpoint, long fromRevision) {
        respond(endpoint, requestId, () -> {
            watches.put(requestId, new OpenWatch(endpoint, new long[] {fromRevision}));
            return response(endpoint, List.of(), false, 0, true, 0, false);
        });
    }

    private void pumpWatches() {
        for (long requestId : List.copyOf(watches.keySet())) {
            OpenWatch watch = watches.get(requestId);
            Member member = members.get(watch.endpoint);
            if (member.silent || member.watchSilent || member.down) {
                continue;
            }
            try {
                List<KeyValue> events = toKeyValues(state(watch.endpoint).changes(PREFIX, END, watch.next[0]));
                if (!events.isEmpty()) {
                    watch.next[0] = state(watch.endpoint).revision() + 1;
                    long scheduledGeneration = generation;
                    int splitAt = fragmentWatch ? random.nextInt(events.size() + 1) : 0;
                    List<KeyValue> first = events.subList(0, splitAt);
                    List<KeyValue> second = events.subList(splitAt, events.size());
                    schedule(0.001, () -> {
                        if (scheduledGeneration == generation && splitAt > 0) {
                            watcher.onResponse(
                                    now, requestId, response(watch.endpoint, first, false, 0, false, 0, true));
                        }
                        if (scheduledGeneration == generation) {
                            watcher.onResponse(
                                    now, requestId, response(watch.endpoint, second, false, 0, false, 0, false));
                        }
                    });
                }
            } catch (RegistryState.Compacted e) {
                watches.remove(requestId);
                schedule(
                        0.001,
                        () -> watcher.onResponse(
                                now, requestId, response(watch.endpoint, List.of(), false, 0, false, e.upTo, false)));
            }
        }
    }

    @Override
    public void cancel(long requestId) {
        watches.remove(requestId);
    }

    @Override
    public void onUpdate(ViewUpdate update) {
        updates.add(update);
        afterUpdate.run();
    }

    @Override
    public void log(String message) {
        messages.add(message);
    }

    /** The searchers and their states in the registry at a revision; null if it is compacted. */
    List<String> registryStates(long atRevision) {
        try {
            return registry.range(PREFIX, END, atRevision, 0).keys().stream()
                    .map(each -> each.key().substring(PREFIX.length()) + " "
                            + SearcherRecord.parse(each.key().substring(PREFIX.length()), each.value())
                                    .state())
                    .toList();
        } catch (RegistryState.Compacted e) {
            return null;
        }
    }

    List<String> searcherStates() {
        return view.searchers().stream()
                .map(each -> each.id() + " " + each.state())
                .sorted()
                .toList();
    }
}
