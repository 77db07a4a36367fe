package pinewick.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One mixer's view of the tier's mixers: who takes part, kept over datagrams that come late, twice or not at all. No I/O,
 * no clock: datagrams, looks at the clock and changes of the list come in by {@link #heard}, {@link #tick} and
 * {@link #listed}, datagrams go out through {@link Wire}; times are seconds on the clock that all mixers share. The same
 * events in the same order give the same datagrams. Start reading at {@link #tick}.
 *
 * <p>From SWIM (DSN 2002): probes, indirect probes, suspicion with incarnations, news that rides on probes. From Lifeguard
 * (DSN 2018): answers to this mixer's own slowness, suspicion that shortens with confirmations, telling a suspect at once.
 * What differs, and why, is in docs/fleet-view.md.
 */
public final class FleetView implements Datagram.Reader {
    /** Sends datagrams; they may be lost. */
    public interface Wire {
        void send(int place, byte[] datagram);

        /** To every member at once. Returns false where there is no such way. */
        boolean sendAll(byte[] datagram);
    }

    /** Hears of changes. */
    public interface News {
        void changed(int place, Standing was, Standing is);
    }

    private static final int ASKS_MOST = 400; // datagrams asked for at a start, for the largest list thrice over
    private static final int LOOKS_MORE = 3;
    private static final int LAST_LOOKS = 12; // at suspects, each gossip's time
    private static final int LOOKERS = 20; // members that look at one suspect in a gossip's time
    private static final int NEWS_FEW = 24; // pieces of news that one datagram takes
    private static final int STRETCHES = 64; // of the list, each with a sum, so that what differs is found
    private static final int STATES = 2; // datagrams that answer sums
    private static final int HEARD_AGAIN = 2; // sends that hearing one's own news from another is worth
    private static final int FILL = 4; // entries of plain state that ride along where there is no news

    private final FleetTerms terms;
    private final Wire wire;
    private final News news;
    private final SplittableRandom chance;
    private final ProbeTurns turns;
    private final Suspicion suspicion;
    private final LocalHealth health;
    private final ShareCount shares;
    private final Datagram out = new Datagram();
    private final Rumours rumours;
    private final Map<Integer, Probe> probes = new HashMap<>();
    /** Looks made for others: own number to who asked, under what number, and until when it is told in time. */
    private final Map<Integer, double[]> looks = new TreeMap<>();
    private Member[] members;
    private int self;
    private long incarnation;
    private boolean leaving;
    private double now;
    private int from;
    private int numbers;
    private int shortDigest;
    private short[] sums;
    private int live;
    private int suspects;
    private double heardAt = Double.NEGATIVE_INFINITY;
    /** Probes since the last turn that found nobody. */
    private int silences;
    private long lastTurn = Long.MIN_VALUE;
    private double newsAt = Double.NEGATIVE_INFINITY;
    private double retoldAt = Double.NEGATIVE_INFINITY;
    private double announcedAt = Double.NEGATIVE_INFINITY;
    private int announce;
    private int filled;
    private int askFrom;
    private int asks;
    private double askedAt = Double.NEGATIVE_INFINITY;
    private long sent;
    private long sentBytes;
    private long got;
    private long gotBytes;
    private long deaths;
    private long objections;
    private long suspicions;
    private final Map<String, Long> dropped = new TreeMap<>();

    /**
     * @param size how many mixers are listed, this one with them
     * @param self this one's place
     * @param incarnation above that of any start before; milliseconds since 1970 serve
     */
    public FleetView(int size, int self, long incarnation, FleetTerms terms, SplittableRandom chance, Wire wire, News news) {
        check(size, self);
        this.terms = terms;
        this.wire = wire;
        this.news = news;
        this.chance = chance;
        this.self = self;
        this.incarnation = Datagram.bounded(Math.max(1, incarnation));
        turns = new ProbeTurns(terms.period());
        suspicion = new Suspicion(terms);
        health = new LocalHealth(terms.period());
        shares = new ShareCount(terms);
        members = new Member[size];
        for (int place = 0; place < size; place++) {
            members[place] = new Member(place);
        }
        rumours = new Rumours(size);
        countsAll();
    }

    private static void check(int size, int self) {
        if (size < 1 || size > Datagram.PLACES || self < 0 || self >= size) {
            throw new IllegalArgumentException("peers: 1 to " + Datagram.PLACES + " mixers are expected, this one among "
                + "them; there are " + size + " and this one's place is " + self);
        }
    }

    /** Begins: tells everybody that it is here, and asks for what the others know. */
    public void start(double at) {
        now = at;
        members[self].takes(now, Standing.ALIVE, incarnation);
        counts(members[self]);
        health.look(now);
        announce = 3;
        askFrom = 0;
        asks = 0;
        announceIfDue();
        askIfDue();
    }

    /**
     * The regular look, several times a period. In order: whether this mixer stood still, the probe whose turn it is, the
     * probes out, the suspects whose time is over, news.
     */
    public void tick(double at) {
        now = at;
        if (leaving) {
            return;
        }
        double stood = health.look(now);
        if (stood > 0) {
            // Danger: after this mixer stood still, what it missed meanwhile would look like the others' silence.
            probes.clear();
            looks.clear();
        }
        long turn = turns.turn(now);
        if (turn > lastTurn && now >= turns.at(turn, self, members.length)) {
            lastTurn = turn;
            // Danger: where most of a fleet dies at once, those left look at one member each a turn, and mostly at dead
            // ones; so each silence found brings one look more. Harm: up to four times the probes for that time.
            int more = Math.min(LOOKS_MORE, silences);
            silences = 0;
            for (int each = 0; each <= more; each++) {
                probe(turns.target(turn * (LOOKS_MORE + 1) + each, self, members));
            }
            knock();
        }
        lookAfterProbes();
        lookAfterSuspects();
        answerInVain();
        announceIfDue();
        askIfDue();
        if (rumours.any() && now - newsAt >= terms.gossip()) {
            newsAt = now;
            int to = anyTakingPart();
            if (to >= 0) {
                send(to, Datagram.Kind.NEWS, 0, self);
            }
        }
    }

    private void probe(int target) {
        if (target < 0) {
            return;
        }
        Probe probe = new Probe(target, ++numbers, now, terms, health.stretch());
        probes.put(probe.number, probe);
        send(target, Datagram.Kind.PING, probe.number, target);
    }

    /**
     * Pings one that does not take part, without any suspicion. Danger: two parts of a fleet that took each other for dead
     * would never look at each other again. Harm: a datagram a period while anyone is gone.
     */
    private void knock() {
        int gone = -1;
        int seen = 0;
        for (Member each : members) {
            if (each.place != self && !each.standing.takesPart() && chance.nextInt(++seen) == 0) {
                gone = each.place;
            }
        }
        if (gone >= 0) {
            send(gone, Datagram.Kind.PING, ++numbers, gone);
        }
    }

    private void lookAfterProbes() {
        for (Probe probe : List.copyOf(probes.values())) {
            switch (probe.due(now)) {
                case PING_AGAIN -> send(probe.target, Datagram.Kind.PING, probe.number, probe.target);
                case ASK_OTHERS -> {
                    for (int helper : helpers(probe.target)) {
                        send(helper, Datagram.Kind.LOOK, probe.number, probe.target);
                    }
                }
                case SILENT -> {
                    probes.remove(probe.number);
                    silences++;
                    // With not a word from anybody meanwhile, the own links are to blame. (Lifeguard counts each helper
                    // that said nothing; where most of a fleet dies at once, the helpers are dead too.)
                    if (heardAt <= probe.since) {
                        health.worse();
                    }
                    if (!health.stoodStill(now)) {
                        accuse(members[probe.target], probe.since, probe.lookedInVain);
                    }
                }
                default -> {
                    // Not yet.
                }
            }
        }
    }

    private void accusedBy(Member suspect, double since, int... accusers) {
        int most = suspicion.accusersMost(live);
        boolean more = false;
        for (int each : accusers) {
            more |= suspect.accused(since, each, most);
        }
        if (more) {
            rumours.add(suspect.place);
        }
    }

    /** By this mixer, and by those that looked for it in vain: their links are others than its own. */
    private void accuse(Member suspect, double since, List<Integer> lookers) {
        if (suspect.heardAt > since || !suspect.standing.takesPart()) {
            return; // Heard of meanwhile, or known as gone already.
        }
        Standing was = suspect.standing;
        suspect.takes(now, Standing.SUSPECT, suspect.incarnation);
        counts(suspect);
        accusedBy(suspect, since, self);
        for (int each : lookers) {
            accusedBy(suspect, since, each);
        }
        if (was != Standing.SUSPECT) {
            suspicions++;
            news.changed(suspect.place, was, Standing.SUSPECT);
        }
        // The suspect hears of it first, so that it can object in time.
        send(suspect.place, Datagram.Kind.PING, ++numbers, suspect.place);
    }

    /**
     * Declares those dead whose time is over. Shortly before, some of those that still hold one for a suspect look: a
     * suspect that objected in vain, as its word was lost on the way, answers. Accusers look all the time. Some suspects a
     * time at most, from another place on each time, so that a mass of dead ones makes no flood.
     */
    private void lookAfterSuspects() {
        boolean look = now - retoldAt >= terms.gossip();
        retoldAt = look ? now : retoldAt;
        int looks = look ? LAST_LOOKS : 0;
        int first = looks > 0 ? chance.nextInt(members.length) : 0;
        for (int each = 0; suspects > 0 && each < members.length; each++) {
            Member member = members[(first + each) % members.length];
            if (member.standing != Standing.SUSPECT) {
                continue;
            }
            double left = suspicion.left(now, member, live);
            if (left <= 0 && !health.stoodStill(now)) {
                member.takes(now, Standing.DEAD, member.incarnation);
                counts(member);
                deaths++;
                rumours.add(member.place);
                news.changed(member.place, Standing.SUSPECT, Standing.DEAD);
            } else if (looks > 0 && (accusedByMe(member)
                || left <= 3 * terms.gossip() && chance.nextInt(live) < LOOKERS)) {
                looks--;
                send(member.place, Datagram.Kind.PING, ++numbers, member.place);
            }
        }
    }

    private boolean accusedByMe(Member suspect) {
        for (int each : suspect.accusers) {
            if (each == self) {
                return true;
            }
        }
        return false;
    }

    /** Tells those that asked for a look that nothing was seen so far, so that they know their own links are well. */
    private void answerInVain() {
        Iterator<Map.Entry<Integer, double[]>> all = looks.entrySet().iterator();
        while (all.hasNext()) {
            double[] look = all.next().getValue();
            if (now >= look[3]) {
                all.remove();
            } else if (now >= look[2] && look[4] == 0) {
                look[4] = 1;
                send((int) look[0], Datagram.Kind.NOT_SEEN, (int) look[1], self);
            }
        }
    }

    /** Tells all members of this mixer's own state, a few times over; each gossip's time once at most. */
    private void announceIfDue() {
        if (announce == 0 || now - announcedAt < terms.gossip()) {
            return;
        }
        announcedAt = now;
        announce--;
        rumours.add(self);
        byte[] datagram = write(self, Datagram.Kind.NEWS, 0, self);
        if (wire.sendAll(datagram)) {
            count(datagram);
        } else {
            for (int each = 0; each < terms.helpers(); each++) {
                int to = any(self);
                if (to >= 0) {
                    send(to, Datagram.Kind.NEWS, 0, self);
                }
            }
        }
    }

    /** Asks one member after another for the next piece of what is known, until the last piece came. */
    private void askIfDue() {
        if (askFrom < 0 || now - askedAt < terms.again()) {
            return;
        }
        askedAt = now;
        int to = asks % 2 == 0 ? anyTakingPart() : any(self);
        to = to < 0 ? any(self) : to;
        if (to < 0 || ++asks > ASKS_MOST) {
            askFrom = -1;
            return;
        }
        send(to, Datagram.Kind.ASK, askFrom, self);
    }

    /** A datagram came from this place's address; what can't be used is counted and dropped. */
    public void heard(double at, int place, byte[] datagram, int length) {
        now = at;
        if (leaving) {
            return;
        }
        from = place;
        got++;
        gotBytes += length;
        if (place < 0 || place >= members.length || place == self) {
            drop("stranger");
            return;
        }
        String wrong = Datagram.read(now, datagram, length, members.length, this);
        if (wrong != null) {
            drop(wrong);
        }
    }

    /** One that came from an address not in the list of peers. */
    public void stranger() {
        got++;
        drop("stranger");
    }

    private void drop(String why) {
        dropped.merge(why, 1L, Long::sum);
    }

    @Override
    public void said(Datagram.Kind is, int sender, long at, int digest, int number, int about) {
        Member member = members[from];
        member.otherView = digest != shortDigest;
        member.heardAt = now;
        heardAt = now;
        if (sender != from) {
            drop("place"); // It has another list; that it lives is true all the same.
        }
        learnt(member, Standing.ALIVE, at);
        if (member.standing == Standing.SUSPECT && member.livedAt(now)) {
            rumours.add(from);
        }
        if (!tellsItself(member, is)) {
            return;
        }
        switch (is) {
            case PING -> send(from, Datagram.Kind.ANSWER, number, from);
            case ANSWER -> {
                Probe probe = probes.get(number);
                if (probe != null && probe.target == from) {
                    probes.remove(number);
                    health.better();
                    if (member.otherView && rumours.waiting() < NEWS_FEW) {
                        askWhatDiffers(from);
                    }
                }
                double[] look = looks.remove(number);
                if (look != null) {
                    send((int) look[0], Datagram.Kind.SEEN, (int) look[1], from);
                }
            }
            case LOOK -> {
                if (about < members.length && about != self) {
                    double[] look = {from, number, now + terms.again(), now + terms.probe(), 0};
                    looks.put(++numbers, look);
                    send(about, Datagram.Kind.PING, numbers, about);
                }
            }
            case SEEN -> {
                Probe probe = probes.remove(number);
                if (probe != null) {
                    health.better();
                    members[probe.target].heardAt = now;
                }
            }
            case NOT_SEEN -> {
                Probe probe = probes.get(number);
                if (probe != null) {
                    probe.lookedInVain.add(from);
                }
            }
            case ASK -> state(number);
            case STATE -> {
                if (askFrom >= 0 && number == askFrom) {
                    askFrom = about > number ? about : -1;
                    askedAt = Double.NEGATIVE_INFINITY;
                }
            }
            default -> {
                // News is in the entries.
            }
        }
    }

    /**
     * One held for silent or dead that speaks is told so, and can object. Returns whether the rest is to be acted on: of
     * one that left nothing is, as late datagrams of its end may still come.
     */
    private boolean tellsItself(Member member, Datagram.Kind is) {
        if (member.standing == Standing.LEFT) {
            return false;
        }
        if (member.standing != Standing.ALIVE && is != Datagram.Kind.PING && is != Datagram.Kind.ASK) {
            send(member.place, Datagram.Kind.NEWS, 0, member.place); // An answer to the others carries it anyway.
        }
        return true;
    }

    @Override
    public void entry(int place, Standing standing, long at, int[] accusers, double silentSince) {
        if (place == self) {
            boolean against = standing != Standing.ALIVE && at >= incarnation;
            if (against || at > incarnation) {
                incarnation = Datagram.bounded(at + 1);
                members[self].takes(now, Standing.ALIVE, incarnation);
                counts(members[self]);
                if (against) {
                    objections++;
                    health.worse();
                }
                announce = 2;
                announceIfDue();
            }
            return;
        }
        Member member = members[place];
        if (member.standing == standing && member.incarnation == at) {
            rumours.heardAgain(place, HEARD_AGAIN, sends());
        }
        learnt(member, standing, at);
        if (standing == Standing.SUSPECT && member.standing == Standing.SUSPECT && member.incarnation == at) {
            accusedBy(member, Math.min(now, silentSince), accusers);
            if (member.livedAt(Math.max(Math.min(now, silentSince), member.heardAt))) {
                rumours.add(place);
            }
        }
    }

    private void learnt(Member member, Standing standing, long at) {
        Standing was = member.standing;
        if (member.takes(now, standing, at)) {
            counts(member);
            rumours.add(member.place);
            if (was != standing) {
                news.changed(member.place, was, standing);
            }
        }
    }

    /** Sends the sums of all stretches of the list; the other answers with what it holds where its own differ. */
    private void askWhatDiffers(int to) {
        out.begin(Datagram.Kind.SUMS, self, incarnation, shortDigest, members.length, to);
        for (short each : sums) {
            out.sum(each);
        }
        post(to, out.end());
    }

    @Override
    public void sums(short[] others) {
        if (others.length != sums.length) {
            return;
        }
        int left = STATES;
        int first = chance.nextInt(sums.length);
        out.begin(Datagram.Kind.NEWS, self, incarnation, shortDigest, 0, self);
        for (int each = 0; each < sums.length && left > 0; each++) {
            int stretch = (first + each) % sums.length;
            if (sums[stretch] == others[stretch]) {
                continue;
            }
            for (int place = stretch * stretch(); place < Math.min(members.length, (stretch + 1) * stretch()); place++) {
                put(members[place]);
                if (!out.hasRoom()) {
                    post(from, out.end());
                    if (--left == 0) {
                        return;
                    }
                    out.begin(Datagram.Kind.NEWS, self, incarnation, shortDigest, 0, self);
                }
            }
        }
        post(from, out.end());
    }

    /** Places in a stretch. */
    private int stretch() {
        return (members.length + STRETCHES - 1) / STRETCHES;
    }

    /** What is known of the members from a place on, as much as fits; the last piece names place 0 as the next. */
    private void state(int first) {
        out.begin(Datagram.Kind.STATE, self, incarnation, shortDigest, first, 0);
        int next = Math.max(0, first);
        while (next < members.length && out.hasRoom()) {
            put(members[next++]);
        }
        post(from, next < members.length ? out.about(next).end() : out.end());
    }

    /**
     * The list of mixers is another now: places keep what is known of them, new ones are unheard. Not a restart.
     */
    public void listed(double at, int size, int place) {
        check(size, place);
        now = at;
        Member[] next = new Member[size];
        for (int each = 0; each < size; each++) {
            next[each] = each < members.length && each != place && each != self ? members[each] : new Member(each);
        }
        members = next;
        self = place;
        members[self].takes(now, Standing.ALIVE, incarnation);
        countsAll();
        rumours.resize(size);
        probes.clear();
        looks.clear();
        announce = 2;
        askFrom = 0;
        asks = 0;
    }

    /** This mixer stops: the others are told, so that nobody need find it out. */
    public void leave(double at) {
        now = at;
        if (leaving) {
            return;
        }
        leaving = true;
        members[self].takes(now, Standing.LEFT, incarnation);
        rumours.add(self);
        byte[] datagram = write(self, Datagram.Kind.NEWS, 0, self);
        if (wire.sendAll(datagram)) {
            count(datagram);
        }
        for (int each = 0; each < 2 * terms.helpers(); each++) {
            int to = anyTakingPart();
            if (to >= 0) {
                post(to, datagram);
            }
        }
    }

    private void send(int to, Datagram.Kind what, int number, int about) {
        post(to, write(to, what, number, about));
    }

    private void post(int to, byte[] datagram) {
        count(datagram);
        wire.send(to, datagram);
    }

    private void count(byte[] datagram) {
        sent++;
        sentBytes += datagram.length;
    }

    /** A datagram with what concerns the receiver first, then news, then some plain state. */
    private byte[] write(int to, Datagram.Kind what, int number, int about) {
        out.begin(what, self, incarnation, shortDigest, number, about);
        if (what == Datagram.Kind.LOOK || what == Datagram.Kind.SEEN || what == Datagram.Kind.NOT_SEEN
            || what == Datagram.Kind.ASK) {
            return out.end(); // These go out in numbers while links are bad; the rest carries the news.
        }
        Member receiver = members[to];
        if (to != self && receiver.standing != Standing.ALIVE) {
            put(receiver);
            return out.end(); // It may well be gone; news would be wasted on it.
        }
        boolean any = rumours.any();
        rumours.offer(sends(), place -> {
            if (!out.hasRoom()) {
                return false;
            }
            put(members[place]);
            return true;
        });
        // Danger: news that was lost on every way would never be told again; so a little plain state rides along.
        int fill = any ? 0 : Math.min(FILL, members.length);
        for (int each = 0; each < fill && out.hasRoom(); each++) {
            filled = (filled + 1) % members.length;
            put(members[filled]);
        }
        return out.end();
    }

    private void put(Member member) {
        if (member.standing == Standing.UNHEARD) {
            return;
        }
        out.entry(member.place, member.standing, member.incarnation, member.accusers, member.silentSince);
    }

    private int sends() {
        return terms.spread() * (int) Math.ceil(Math.log10(members.length + 1));
    }

    private List<Integer> helpers(int but) {
        List<Integer> helpers = new ArrayList<>();
        for (int tries = 0; tries < 4 * terms.helpers() && helpers.size() < terms.helpers(); tries++) {
            int one = anyTakingPart();
            if (one >= 0 && one != but && !helpers.contains(one)) {
                helpers.add(one);
            }
        }
        return helpers;
    }

    /** Any other member that takes part, by chance; -1 where there is none. */
    private int anyTakingPart() {
        for (int tries = 0; tries < 6; tries++) {
            int place = chance.nextInt(members.length);
            if (place != self && members[place].standing == Standing.ALIVE) {
                return place;
            }
        }
        int found = -1;
        int seen = 0;
        for (Member each : members) {
            if (each.place != self && each.standing.takesPart() && chance.nextInt(++seen) == 0) {
                found = each.place;
            }
        }
        return found;
    }

    /** Any other listed member; -1 where this one is alone. */
    private int any(int but) {
        int place = members.length < 2 ? -1 : chance.nextInt(members.length - 1);
        return place >= but ? place + 1 : place;
    }

    /** How many mixers are to be thought of as sending beside this one and with it: for spreading work. */
    public int spread() {
        return shares.spread(members, live);
    }

    /** How many mixers take part, this one with them. */
    public int live() {
        return live;
    }

    /** How many mixers may be sending at most: for this one's share of what all may send together. */
    public int bound(double at) {
        return shares.bound(at, members, self);
    }

    public int size() {
        return members.length;
    }

    public int self() {
        return self;
    }

    public Standing standing(int place) {
        return members[place].standing;
    }

    public long incarnation(int place) {
        return members[place].incarnation;
    }

    /** A letter a member, by place: A alive, S suspect, D dead, L left, U unheard. */
    public String letters() {
        StringBuilder letters = new StringBuilder(members.length);
        for (Member each : members) {
            letters.append(each.standing.name().charAt(0));
        }
        return letters.toString();
    }

    /** Counts a member whose standing or incarnation changed: the live, the suspects, the sums that compare views. */
    private void counts(Member member) {
        long kind = member.standing.takesPart() ? 1 : member.standing == Standing.UNHEARD ? 0 : 2;
        long mark = new SplittableRandom(member.place * 4L + kind ^ member.incarnation << 16).nextLong();
        long change = member.mark ^ mark;
        member.mark = mark;
        shortDigest ^= (int) (change >>> 32);
        sums[member.place / stretch()] ^= (short) change;
        boolean counted = member.place == self || member.standing.takesPart();
        live += counted == member.counted ? 0 : counted ? 1 : -1;
        member.counted = counted;
        boolean suspect = member.standing == Standing.SUSPECT;
        suspects += suspect == member.suspect ? 0 : suspect ? 1 : -1;
        member.suspect = suspect;
    }

    /** Counts all anew, for another list. */
    private void countsAll() {
        live = 0;
        suspects = 0;
        shortDigest = 0;
        sums = new short[(members.length + stretch() - 1) / stretch()];
        for (Member each : members) {
            each.mark = 0;
            each.counted = false;
            each.suspect = false;
            counts(each);
        }
    }

    /** The same for any two mixers that hold the same members for taking part, at the same incarnations. */
    public long digest() {
        long digest = 17;
        for (Member each : members) {
            if (each.standing.takesPart()) {
                digest = (digest * 31 + each.place) * 1_000_003 + each.incarnation;
            }
        }
        return digest;
    }

    /** Datagrams and bytes sent so far. */
    public long sent() {
        return sent;
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** Deaths that this mixer declared itself. */
    public long deaths() {
        return deaths;
    }

    /** A line a figure. */
    public String figures() {
        StringBuilder text = new StringBuilder("fleet-view " + letters() + "\nfleet-live " + live() + "\nfleet-spread " + spread() + "\nfleet-bound "
            + bound(now) + "\nfleet-digest " + Long.toHexString(digest()) + "\nfleet-incarnation " + incarnation
            + "\nfleet-own-health " + health.score() + "\nfleet-sent " + sent + "\nfleet-sent-bytes " + sentBytes
            + "\nfleet-got " + got + "\nfleet-got-bytes " + gotBytes + "\nfleet-suspicions " + suspicions
            + "\nfleet-deaths " + deaths + "\nfleet-objections " + objections + "\nfleet-news " + rumours.waiting() + "\n");
        dropped.forEach((why, times) -> text.append("fleet-dropped-").append(why).append(' ').append(times).append('\n'));
        return text.toString();
    }
}
