package pinewick.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Follows one prefix through the registry's members: what to read, what to watch, when to leave a member, when to
 * believe what. No I/O; times are seconds and handed in, chance comes from a seed. docs/registry.md has its states.
 *
 * <p>Three questions may be out at a time, each with a number of its own: a read (pages of a whole view), the watch,
 * and a probe (what is the newest change, how many keys are there). An answer to an earlier number is dropped.
 */
public final class PrefixWatcher {
    /** What the session asks for. */
    public interface Wire {
        /**
         * Reads keys from {@code from} on to the prefix's end.
         *
         * @param atRevision 0 for the newest
         * @param keysOnly without values
         */
        void read(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly);

        /** Asks for the key changed last, without its value, and for the number of keys. */
        void probe(long question, int endpoint);

        void watch(long question, int endpoint, long fromRevision);

        /** The question is of no interest any more; its connection may be closed. */
        void drop(long question);

        /** News to be taken in one step. */
        void step(ViewUpdate step);

        /** For the operators' log. */
        void say(String text);
    }

    /** Progress of the session. */
    public enum State {
        OFF,
        READING,
        WATCHING,
        WAITING
    }

    /**
     * What an operator may set, in seconds but for the first two.
     *
     * @param endpoints how many members there are
     * @param pageKeys keys a page at most
     * @param answer the longest a member may take to answer a read or to open a watch
     * @param probeEvery time between two probes of a watch; probeAnswer: the longest one may take
     * @param owed how long a watch may owe a change that a probe found
     * @param waitLeast and waitMost: bounds of the growing waits after all members failed in turn
     * @param believe how long the registry must say nothing but a lower revision, or another cluster, before it counts
     */
    public record Terms(
            int endpoints,
            int pageKeys,
            double answer,
            double probeEvery,
            double probeAnswer,
            double owed,
            double waitLeast,
            double waitMost,
            double believe) {
        public static Terms usual(int endpoints) {
            return new Terms(endpoints, 500, 1, 0.15, 0.25, 0.1, 0.05, 2, 10);
        }
    }

    private final RegistryView view;
    private final Terms terms;
    private final Wire wire;
    private final SplittableRandom chance;
    private final String prefix;
    private final List<KeyValue> pieces = new ArrayList<>();
    private State state = State.OFF;
    private long lastQuestion;
    private long reading;
    private long watching;
    private long probing;
    private int endpoint;
    private int failedInTurn;
    private int limit;
    private int firstLimit;
    private double askedAt;
    private double probedAt;
    private double resumeAt;
    private double owedSince = Double.NaN;
    private String from;
    private String cluster;
    private long readRevision;
    private long probedFrom;
    private final boolean[] strangeAt;
    private boolean watchOpen;
    private boolean caughtUp;
    private boolean accepting;
    private boolean keysOnly;
    private boolean readAgain;
    private boolean probedAway;
    /** Since when nothing but a lower revision, or another cluster, answers; NaN while the known one does. */
    private double strangeSince = Double.NaN;

    private int steps;
    private int rebuilds;
    private int left;

    public PrefixWatcher(String prefix, RegistryView view, Terms terms, Wire wire, SplittableRandom chance) {
        if (terms.endpoints() < 1) {
            throw new IllegalArgumentException("endpoints: at least one is expected");
        }
        this.prefix = prefix;
        this.view = view;
        this.terms = terms;
        this.wire = wire;
        this.chance = chance;
        firstLimit = terms.pageKeys();
        strangeAt = new boolean[terms.endpoints()];
        endpoint = chance.nextInt(terms.endpoints());
    }

    public State state() {
        return state;
    }

    /** Whether the view in force was seen to be the registry's newest since the last break. */
    public boolean caughtUp() {
        return caughtUp;
    }

    /** Steps taken, views read whole, members left; for the operators. */
    public String figures() {
        return "steps " + steps + "\nviews-read-whole " + rebuilds + "\nmembers-left " + left + "\nrevision "
                + view.revision() + "\nkeys " + view.size() + "\n";
    }

    /** Starts from what the view holds: a kept one is watched onward, an empty one is read. */
    public void start(double now) {
        if (view.revision() > 0) {
            watch(now);
        } else {
            read(now);
        }
    }

    public void stop() {
        dropAll();
        state = State.OFF;
    }

    private void dropAll() {
        for (long each : new long[] {reading, watching, probing}) {
            if (each != 0) {
                wire.drop(each);
            }
        }
        reading = watching = probing = 0;
        watchOpen = false;
        pieces.clear();
    }

    private void watch(double now) {
        state = State.WATCHING;
        askedAt = probedAt = now;
        owedSince = Double.NaN;
        watchOpen = false;
        watching = ++lastQuestion;
        wire.watch(watching, endpoint, view.revision() + 1);
    }

    /** Reads the whole view anew; the one in force serves on meanwhile. */
    private void read(double now) {
        if (watching != 0 || probing != 0) {
            dropAll();
        }
        state = State.READING;
        view.begin();
        from = prefix;
        readRevision = 0;
        limit = firstLimit;
        keysOnly = false;
        page(now);
    }

    private void page(double now) {
        askedAt = now;
        reading = ++lastQuestion;
        wire.read(reading, endpoint, from, readRevision, keysOnly ? 1 : limit, keysOnly);
    }

    /**
     * This member did not serve: the next one is asked, at once while there are some not yet tried. Danger: when all
     * are down every mixer would ask without a pause, and all of them together when one is back; so the waits grow and
     * are spread.
     */
    private void leave(double now, String why) {
        dropAll();
        left++;
        caughtUp = false;
        endpoint = (endpoint + 1) % terms.endpoints();
        failedInTurn++;
        boolean more = failedInTurn % terms.endpoints() != 0;
        int rounds = Math.min(10, failedInTurn / terms.endpoints());
        double wait =
                more ? 0 : Math.min(terms.waitMost(), terms.waitLeast() * (1 << rounds)) * (0.5 + chance.nextDouble());
        resumeAt = now + wait;
        state = State.WAITING;
        wire.say("left a member, " + why + (wait > 0 ? "; next in " + Math.round(wait * 1e3) + " ms" : ""));
    }

    /** To be called every few hundredths of a second. */
    public void tick(double now) {
        switch (state) {
            case WAITING -> {
                if (now >= resumeAt) {
                    if (readAgain || view.revision() == 0 || accepting) {
                        read(now);
                    } else {
                        watch(now);
                    }
                }
            }
            case READING -> {
                if (now - askedAt > terms.answer()) {
                    // Danger: pages that take a member longer than it is given would never be read.
                    firstLimit = Math.max(1, limit / 8);
                    readAgain = true;
                    leave(now, "no answer to a read");
                }
            }
            case WATCHING -> {
                if (!watchOpen && now - askedAt > terms.answer()) {
                    leave(now, "the watch did not open");
                } else if (probing != 0 && now - probedAt > terms.probeAnswer()) {
                    probeLost(now, "no answer to a probe");
                } else if (!Double.isNaN(owedSince) && now - owedSince > terms.owed()) {
                    // Danger: a watch that is open and says nothing hides a drain. The view is read at once.
                    readAgain = true;
                    leave(now, "the watch owes a change");
                    tick(now);
                } else if (watchOpen && probing == 0 && now - probedAt >= terms.probeEvery()) {
                    probedAt = now;
                    probing = ++lastQuestion;
                    probedFrom = view.revision();
                    // Danger: a member that lies by lagging answers its own probes well; so each second one asks
                    // another member, whose failure says nothing of this one.
                    probedAway = !probedAway && terms.endpoints() > 1;
                    int away = probedAway ? 1 + chance.nextInt(terms.endpoints() - 1) : 0;
                    wire.probe(probing, (endpoint + away) % terms.endpoints());
                }
            }
            default -> {}
        }
    }

    private void probeLost(double now, String why) {
        if (probedAway) {
            wire.drop(probing);
            probing = 0;
        } else {
            leave(now, why);
        }
    }

    /** A question ended without an answer. */
    public void failed(double now, long question, String why) {
        if (question != 0 && question == probing) {
            probeLost(now, why);
        } else if (question != 0 && (question == reading || question == watching)) {
            readAgain |= question == reading;
            leave(now, why);
        }
    }

    /**
     * An answer was longer than can be taken. Pages shrink down to one key; a key that is too long by itself is passed
     * over by its name. Danger: one huge value would keep the whole view from ever being read.
     */
    public void tooLong(double now, long question) {
        if (question == watching && question != 0) {
            readAgain = true;
            dropAll();
            read(now);
        } else if (question == reading && question != 0) {
            if (limit > 1) {
                limit = Math.max(1, limit / 8);
            } else {
                keysOnly = true;
            }
            page(now);
        } else {
            failed(now, question, "an answer too long");
        }
    }

    public void answered(double now, long question, RegistryResponse answer) {
        if (question == 0 || (question != reading && question != watching && question != probing)) {
            return;
        }
        if (question == probing
                && probedAway
                && (answer.fault() != null || !answer.cluster().equals(cluster))) {
            probing = 0;
        } else if (answer.tooOld()) {
            // What lies between is not known any more: only a whole view can tell it.
            wire.say("revision " + (question == reading ? readRevision : view.revision() + 1) + " is compacted");
            readAgain = true;
            dropAll();
            read(now);
        } else if (answer.fault() != null) {
            failed(now, question, answer.fault());
        } else if (question == probing && probedAway) {
            probed(now, answer);
        } else if (!believed(now, question, answer)) {
            leave(now, strange(answer));
        } else if (question == probing) {
            probed(now, answer);
        } else if (question == reading) {
            pageRead(now, answer);
        } else {
            watched(now, answer);
        }
    }

    private String strange(RegistryResponse answer) {
        return cluster != null && !answer.cluster().equals(cluster)
                ? "it belongs to cluster " + answer.cluster() + ", not " + cluster
                : "its revision " + answer.revision() + " is behind " + view.revision();
    }

    /**
     * A member behind us lags or was cut off; one of another cluster was given by mistake. Neither is believed, unless
     * every member has said so, and none anything else, for a stated time: then the registry was restored, or
     * replaced, and is read whole. Danger: while the known members are down a wrong one would empty the view.
     */
    private boolean believed(double now, long question, RegistryResponse answer) {
        boolean same = cluster == null || answer.cluster().equals(cluster);
        if (same && answer.revision() >= (question == probing ? probedFrom : view.revision())) {
            strangeSince = Double.NaN;
            Arrays.fill(strangeAt, false);
            accepting = false;
            cluster = answer.cluster();
            return true;
        }
        if (accepting && question == reading) {
            return true;
        }
        strangeSince = Double.isNaN(strangeSince) ? now : strangeSince;
        strangeAt[endpoint] = true;
        boolean all = true;
        for (boolean each : strangeAt) {
            all &= each;
        }
        accepting |= all && now - strangeSince >= terms.believe();
        return false;
    }

    private void probed(double now, RegistryResponse answer) {
        probing = 0;
        if (answer.revision() < view.revision()) {
            return; // the watch was quicker, so this tells nothing
        }
        long newest = answer.entries().isEmpty() ? 0 : answer.entries().get(0).modRevision();
        boolean behind = newest > view.revision() || answer.count() != view.size();
        if (!behind && probedAway) {
            owedSince = Double.NaN;
        } else if (!behind) {
            owedSince = Double.NaN;
            caughtUp = true;
            failedInTurn = 0;
        } else if (Double.isNaN(owedSince)) {
            owedSince = now;
        }
    }

    private void pageRead(double now, RegistryResponse answer) {
        List<KeyValue> entries = answer.entries();
        if (keysOnly) {
            keysOnly = false;
            if (!entries.isEmpty()) {
                view.keep(entries.get(0).key(), entries.get(0).modRevision());
                from = entries.get(0).key() + '\0';
            }
            limit = terms.pageKeys();
        } else {
            if (readRevision == 0) {
                readRevision = answer.revision();
            }
            view.page(readRevision, entries);
            if (!entries.isEmpty()) {
                from = entries.get(entries.size() - 1).key() + '\0';
            }
        }
        if (answer.more()) {
            page(now);
            return;
        }
        reading = 0;
        if (readRevision == 0) {
            view.page(answer.revision(), List.of());
        }
        boolean restored = accepting;
        if (restored) {
            wire.say("the registry is believed again, cluster " + answer.cluster() + " at revision "
                    + answer.revision());
            cluster = answer.cluster();
            accepting = false;
            strangeSince = Double.NaN;
            Arrays.fill(strangeAt, false);
        }
        ViewUpdate step = view.commit(restored);
        firstLimit = terms.pageKeys();
        readAgain = false;
        rebuilds++;
        steps++;
        wire.step(step);
        watch(now);
    }

    private void watched(double now, RegistryResponse answer) {
        if (answer.created()) {
            watchOpen = true;
            failedInTurn = 0;
            askedAt = now;
        }
        if (answer.cancelled()) {
            leave(now, "the watch was cancelled");
            return;
        }
        pieces.addAll(answer.entries());
        if (answer.fragment()) {
            return;
        }
        if (pieces.isEmpty()) {
            if (!answer.created()) {
                view.progressed(answer.revision());
            }
            return;
        }
        ViewUpdate step = view.apply(List.copyOf(pieces));
        pieces.clear();
        owedSince = Double.NaN;
        if (!step.events().isEmpty()) {
            steps++;
            wire.step(step);
        }
        if (step.mass()) {
            // Rule 3 holds for those that left, whoever is at fault; a whole read tells at once if they are back.
            wire.say(step.vanished() + " searchers left in one step; reading the whole view");
            dropAll();
            read(now);
        }
    }
}
