package pinewick.fleet;

/** Composes this router's datagrams, each with the gossip that fits, and sends and counts them. */
final class DatagramSender {
    /** Datagrams that answer checksums at most. */
    private static final int DIFFERENCES = 2;
    /** Entries of plain state that ride along where there is no news. */
    private static final int FILL = 4;
    /** Sends that hearing one's own news from another is worth. */
    private static final int HEARD_AGAIN = 2;

    private final MemberTable table;
    private final MembershipSettings terms;
    private final MembershipView.Wire wire;
    private final GossipQueue rumours;
    private final Datagram out = new Datagram();
    private int filled;
    private long sent;
    private long sentBytes;

    DatagramSender(MemberTable table, MembershipSettings terms, MembershipView.Wire wire) {
        this.table = table;
        this.terms = terms;
        this.wire = wire;
        rumours = new GossipQueue(table.size());
    }

    /** Another list of members: all news is forgotten. */
    void membersReplaced() {
        rumours.resize(table.size());
    }

    /** There is news of this member, to be gossiped. */
    void spread(Member member) {
        rumours.add(member.place);
    }

    /** Another member told the same news of this one. */
    void heardAgain(Member member) {
        rumours.heardAgain(member.place, HEARD_AGAIN, sendsOfNews());
    }

    /** Of how many members there is news. */
    int newsWaiting() {
        return rumours.waiting();
    }

    /** How often a piece of news is sent. */
    private int sendsOfNews() {
        return terms.spread() * (int) Math.ceil(Math.log10(table.size() + 1));
    }

    /** Sends a datagram with gossip to a place. */
    void send(int to, Datagram.Kind kind, int number, int about) {
        post(to, compose(to, kind, number, about));
    }

    /** Sends news alone to a place. */
    void sendNews(int to) {
        send(to, Datagram.Kind.NEWS, 0, table.self());
    }

    /** Sends this router's own state to all members, or to some where there is no way to all. */
    void announce() {
        spread(table.get(table.self()));
        if (!sendToAll(ownNews())) {
            for (int each = 0; each < terms.helpers(); each++) {
                int to = table.anyListed();
                if (to >= 0) {
                    sendNews(to);
                }
            }
        }
    }

    /** Tells all members, and some of them once more, of this router's end. */
    void announceEnd() {
        spread(table.get(table.self()));
        byte[] datagram = ownNews();
        sendToAll(datagram);
        for (int each = 0; each < 2 * terms.helpers(); each++) {
            int to = table.anyTakingPart();
            if (to >= 0) {
                post(to, datagram);
            }
        }
    }

    private byte[] ownNews() {
        return compose(table.self(), Datagram.Kind.NEWS, 0, table.self());
    }

    private boolean sendToAll(byte[] datagram) {
        boolean possible = wire.sendAll(datagram);
        if (possible) {
            count(datagram);
        }
        return possible;
    }

    private void post(int to, byte[] datagram) {
        count(datagram);
        wire.send(to, datagram);
    }

    private void count(byte[] datagram) {
        sent++;
        sentBytes += datagram.length;
    }

    private Datagram begin(Datagram.Kind kind, int number, int about) {
        return out.begin(kind, table.self(), table.incarnation(), table.shortDigest(), number, about);
    }

    /** A datagram with what concerns the receiver first, then news, then some plain state. */
    private byte[] compose(int to, Datagram.Kind kind, int number, int about) {
        begin(kind, number, about);
        if (kind == Datagram.Kind.LOOK
                || kind == Datagram.Kind.SEEN
                || kind == Datagram.Kind.NOT_SEEN
                || kind == Datagram.Kind.ASK) {
            return out.end(); // These go out in numbers while links are bad; the rest carries the news.
        }
        Member receiver = table.get(to);
        if (to != table.self() && receiver.standing != MemberState.ALIVE) {
            put(receiver);
            return out.end(); // It may well be gone; news would be wasted on it.
        }
        boolean hasNews = rumours.any();
        rumours.offer(sendsOfNews(), this::putIfRoom);
        if (!hasNews) {
            putPlainState();
        }
        return out.end();
    }

    /** News that was lost on every way would never be told again; so a little plain state rides along. */
    private void putPlainState() {
        int fill = Math.min(FILL, table.size());
        for (int each = 0; each < fill && out.hasRoom(); each++) {
            filled = (filled + 1) % table.size();
            put(table.get(filled));
        }
    }

    private boolean putIfRoom(int place) {
        boolean room = out.hasRoom();
        if (room) {
            put(table.get(place));
        }
        return room;
    }

    private void put(Member member) {
        if (member.standing != MemberState.UNHEARD) {
            out.entry(member.place, member.standing, member.incarnation, member.accusers, member.silentSince);
        }
    }

    /** Sends the checksums of all stretches of the list; the other answers with what it holds where its own differ. */
    void sendChecksums(int to) {
        begin(Datagram.Kind.SUMS, table.size(), to);
        for (short each : table.checksums()) {
            out.sum(each);
        }
        post(to, out.end());
    }

    /** Answers another's checksums with what is held of the stretches that differ, as much as a few datagrams take. */
    void sendDifferences(int to, short[] others, int firstStretch) {
        int left = DIFFERENCES;
        begin(Datagram.Kind.NEWS, 0, table.self());
        for (int each = 0; each < others.length; each++) {
            int stretch = (firstStretch + each) % others.length;
            if (table.checksums()[stretch] == others[stretch]) {
                continue;
            }
            for (int place = table.stretchStart(stretch); place < table.stretchStart(stretch + 1); place++) {
                put(table.get(place));
                if (!out.hasRoom()) {
                    post(to, out.end());
                    if (--left == 0) {
                        return;
                    }
                    begin(Datagram.Kind.NEWS, 0, table.self());
                }
            }
        }
        post(to, out.end());
    }

    /** Sends what is known of the members from a place on, as much as fits; the last piece names place 0 as next. */
    void sendState(int to, int firstPlace) {
        begin(Datagram.Kind.STATE, firstPlace, 0);
        int next = Math.max(0, firstPlace);
        while (next < table.size() && out.hasRoom()) {
            put(table.get(next++));
        }
        post(to, next < table.size() ? out.about(next).end() : out.end());
    }

    /** Datagrams sent so far. */
    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }
}
