package pinewick.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import pinewick.standins.RegistryState;

/** A registry of some members and one session that follows it, in virtual time; faults are switched on a member. */
final class SimulatedRegistry implements PrefixWatcher.Wire {
    static final String PREFIX = "s/";
    static final String END = "s0";

    /** One member: what it holds (its own copy while cut off) and what is wrong with it. */
    static final class Member {
        RegistryState old;
        boolean down;
        boolean silent;
        boolean watchMute;
        String cluster = "c1";
        double delay = 0.002;
    }

    private record Due(double at, long order, Runnable what) {}

    private record OpenWatch(int endpoint, long[] next) {}

    final RegistryState registry = new RegistryState();
    final List<Member> members = new ArrayList<>();
    final List<ViewUpdate> steps = new ArrayList<>();
    final List<String> said = new ArrayList<>();
    final SplittableRandom chance;
    RegistryView view = new RegistryView(PREFIX);
    PrefixWatcher session;
    double now;
    int valueLimit = 4096;
    boolean fragments;
    /** What each key of a page costs its member, seconds. */
    double delayAKey;
    /** What the view held at each whole state, by step; to be checked by tests. */
    Runnable afterStep = () -> {};

    private final PriorityQueue<Due> queue = new PriorityQueue<>((one, other) ->
            one.at != other.at ? Double.compare(one.at, other.at) : Long.compare(one.order, other.order));
    private final Map<Long, OpenWatch> watches = new LinkedHashMap<>();
    private long order;
    private long life;

    SimulatedRegistry(int count, long seed) {
        chance = new SplittableRandom(seed);
        for (int each = 0; each < count; each++) {
            members.add(new Member());
        }
        session = new PrefixWatcher(PREFIX, view, PrefixWatcher.Terms.usual(count), this, chance.split());
    }

    static String value(int port, String phase) {
        return "{\"addresses\":[\"127.0.0.1:" + port + "\"],\"phase\":\"" + phase + "\"}";
    }

    private RegistryState state(int endpoint) {
        return members.get(endpoint).old != null ? members.get(endpoint).old : registry;
    }

    private void in(double delay, Runnable what) {
        queue.add(new Due(now + delay, order++, what));
    }

    /** Lets time pass; the session is ticked each 20 ms. */
    void run(double seconds) {
        double until = now + seconds;
        while (now < until) {
            double tick = Math.min(until, now + 0.02);
            pumpWatches();
            while (!queue.isEmpty() && queue.peek().at <= tick) {
                Due due = queue.poll();
                now = due.at;
                due.what.run();
            }
            now = tick;
            session.tick(now);
        }
    }

    /** The process ends and a new one starts, with the kept copy or without. */
    void restart(boolean kept) {
        life++;
        session.stop();
        queue.clear();
        watches.clear();
        RegistryView old = view;
        view = new RegistryView(PREFIX);
        if (kept && old.revision() > 0) {
            SnapshotCodec.into(SnapshotCodec.read(SnapshotCodec.whole(old.revision(), old.entries())), view);
        }
        session = new PrefixWatcher(PREFIX, view, PrefixWatcher.Terms.usual(members.size()), this, chance.split());
        session.start(now);
    }

    /** All connections to a member break. */
    void drop(int endpoint) {
        for (long question : List.copyOf(watches.keySet())) {
            if (watches.get(question).endpoint == endpoint) {
                watches.remove(question);
                session.failed(now, question, "the connection broke");
            }
        }
    }

    private void answer(int endpoint, long question, java.util.function.Supplier<RegistryResponse> answer) {
        answer(endpoint, question, 0, answer);
    }

    private void answer(int endpoint, long question, int keys, java.util.function.Supplier<RegistryResponse> answer) {
        Member member = members.get(endpoint);
        if (member.down) {
            in(member.delay, () -> session.failed(now, question, "refused"));
        } else if (!member.silent) {
            in(member.delay * (0.5 + chance.nextDouble()) + keys * delayAKey, () -> {
                if (!member.silent) {
                    RegistryResponse given = answer.get();
                    if (given == null) {
                        session.tooLong(now, question);
                    } else {
                        session.answered(now, question, given);
                    }
                }
            });
        }
    }

    private RegistryResponse reply(
            int endpoint,
            List<KeyValue> entries,
            boolean more,
            long count,
            boolean created,
            long compacted,
            boolean fragment) {
        return new RegistryResponse(
                members.get(endpoint).cluster,
                "m" + endpoint,
                state(endpoint).revision(),
                entries,
                more,
                count,
                created,
                compacted > 0,
                compacted,
                fragment,
                null);
    }

    private static List<KeyValue> entries(List<RegistryState.Version> versions) {
        return versions.stream()
                .map(each -> new KeyValue(each.key(), each.value(), each.revision(), each.lease()))
                .toList();
    }

    @Override
    public void read(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        answer(endpoint, question, limit, () -> {
            try {
                RegistryState.Page page = state(endpoint).range(from, END, atRevision, limit);
                boolean tooLong = page.keys().stream()
                                .mapToInt(each -> each.value().length)
                                .sum()
                        > valueLimit;
                return tooLong && !keysOnly
                        ? null
                        : reply(endpoint, entries(page.keys()), page.more(), page.count(), false, 0, false);
            } catch (RegistryState.Compacted old) {
                return new RegistryResponse("", "", 0, List.of(), false, 0, false, false, 0, false, old.getMessage());
            }
        });
    }

    @Override
    public void probe(long question, int endpoint) {
        answer(endpoint, question, () -> {
            try {
                RegistryState.Version newest = state(endpoint).newest(PREFIX, END);
                long count = state(endpoint).range(PREFIX, END, 0, 1).count();
                return reply(
                        endpoint, newest == null ? List.of() : entries(List.of(newest)), false, count, false, 0, false);
            } catch (RegistryState.Compacted never) {
                throw new IllegalStateException(never);
            }
        });
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        answer(endpoint, question, () -> {
            watches.put(question, new OpenWatch(endpoint, new long[] {fromRevision}));
            return reply(endpoint, List.of(), false, 0, true, 0, false);
        });
    }

    private void pumpWatches() {
        for (long question : List.copyOf(watches.keySet())) {
            OpenWatch watch = watches.get(question);
            Member member = members.get(watch.endpoint);
            if (member.silent || member.watchMute || member.down) {
                continue;
            }
            try {
                List<KeyValue> events = entries(state(watch.endpoint).changes(PREFIX, END, watch.next[0]));
                if (!events.isEmpty()) {
                    watch.next[0] = state(watch.endpoint).revision() + 1;
                    long mine = life;
                    int cut = fragments ? chance.nextInt(events.size() + 1) : 0;
                    List<KeyValue> first = events.subList(0, cut);
                    List<KeyValue> second = events.subList(cut, events.size());
                    in(0.001, () -> {
                        if (mine == life && cut > 0) {
                            session.answered(now, question, reply(watch.endpoint, first, false, 0, false, 0, true));
                        }
                        if (mine == life) {
                            session.answered(now, question, reply(watch.endpoint, second, false, 0, false, 0, false));
                        }
                    });
                }
            } catch (RegistryState.Compacted old) {
                watches.remove(question);
                in(
                        0.001,
                        () -> session.answered(
                                now, question, reply(watch.endpoint, List.of(), false, 0, false, old.upTo, false)));
            }
        }
    }

    @Override
    public void drop(long question) {
        watches.remove(question);
    }

    @Override
    public void step(ViewUpdate step) {
        steps.add(step);
        afterStep.run();
    }

    @Override
    public void say(String text) {
        said.add(text);
    }

    /** The registry's searchers as they stood at a revision. */
    List<String> truth(long atRevision) {
        try {
            return registry.range(PREFIX, END, atRevision, 0).keys().stream()
                    .map(each -> each.key().substring(PREFIX.length()) + " "
                            + SearcherRecord.read(each.key().substring(PREFIX.length()), each.value())
                                    .stage())
                    .toList();
        } catch (RegistryState.Compacted old) {
            return null;
        }
    }

    List<String> seen() {
        return view.stores().stream()
                .map(each -> each.id() + " " + each.stage())
                .sorted()
                .toList();
    }
}
