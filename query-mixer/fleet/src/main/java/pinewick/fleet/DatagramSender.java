package pinewick.fleet;

/** Composes this router's datagrams, each with the gossip that fits, and sends and counts them. */
final class DatagramSender {
    /** Datagrams that answer checksums at most. */
    private static final int MAX_DIFFERENCE_DATAGRAMS = 2;
    /** Entries of plain state that ride along where there is no news. */
    private static final int MAX_FILL_ENTRIES = 4;
    /** Sends that hearing one's own news from another is worth. */
    private static final int SENDS_PER_DUPLICATE = 2;

    private final MemberTable table;
    private final MembershipSettings settings;
    private final MembershipView.Transport transport;
    private final GossipQueue gossipQueue;
    private final Datagram out = new Datagram();
    private int lastFillIndex;
    private long sent;
    private long sentBytes;

    DatagramSender(MemberTable table, MembershipSettings settings, MembershipView.Transport transport) {
        this.table = table;
        this.settings = settings;
        this.transport = transport;
        gossipQueue = new GossipQueue(table.size());
    }

    /** Another list of members: all news is forgotten. */
    void onMembersReplaced() {
        gossipQueue.resize(table.size());
    }

    /** There is news of this member, to be gossiped. */
    void enqueueGossip(Member member) {
        gossipQueue.add(member.index);
    }

    /** Another member told the same news of this one. */
    void onDuplicateGossip(Member member) {
        gossipQueue.recordDuplicate(member.index, SENDS_PER_DUPLICATE, maxSends());
    }

    /** Of how many members there is news. */
    int pendingGossip() {
        return gossipQueue.pending();
    }

    /** How often a piece of news is sent. */
    private int maxSends() {
        return settings.retransmitMultiplier() * (int) Math.ceil(Math.log10(table.size() + 1));
    }

    /** Sends a datagram with gossip to a place. */
    void send(int to, Datagram.Kind kind, int number, int subject) {
        transmit(to, compose(to, kind, number, subject));
    }

    /** Sends news alone to a place. */
    void sendGossip(int to) {
        send(to, Datagram.Kind.GOSSIP, 0, table.self());
    }

    /** Sends this router's own state to all members, or to some where there is no way to all. */
    void announce() {
        enqueueGossip(table.get(table.self()));
        if (!sendToAll(composeOwnState())) {
            for (int each = 0; each < settings.indirectProbers(); each++) {
                int to = table.randomListedIndex();
                if (to >= 0) {
                    sendGossip(to);
                }
            }
        }
    }

    /** Tells all members, and some of them once more, of this router's end. */
    void announceLeave() {
        enqueueGossip(table.get(table.self()));
        byte[] datagram = composeOwnState();
        sendToAll(datagram);
        for (int each = 0; each < 2 * settings.indirectProbers(); each++) {
            int to = table.randomActiveIndex();
            if (to >= 0) {
                transmit(to, datagram);
            }
        }
    }

    private byte[] composeOwnState() {
        return compose(table.self(), Datagram.Kind.GOSSIP, 0, table.self());
    }

    private boolean sendToAll(byte[] datagram) {
        boolean isBroadcast = transport.broadcast(datagram);
        if (isBroadcast) {
            recordSent(datagram);
        }
        return isBroadcast;
    }

    private void transmit(int to, byte[] datagram) {
        recordSent(datagram);
        transport.send(to, datagram);
    }

    private void recordSent(byte[] datagram) {
        sent++;
        sentBytes += datagram.length;
    }

    private Datagram begin(Datagram.Kind kind, int number, int subject) {
        return out.begin(kind, table.self(), table.incarnation(), table.shortDigest(), number, subject);
    }

    /** A datagram with what concerns the receiver first, then news, then some plain state. */
    private byte[] compose(int to, Datagram.Kind kind, int number, int subject) {
        begin(kind, number, subject);
        if (kind == Datagram.Kind.PING_REQUEST
                || kind == Datagram.Kind.INDIRECT_ACK
                || kind == Datagram.Kind.INDIRECT_NACK
                || kind == Datagram.Kind.STATE_REQUEST) {
            return out.finish(); // These go out in numbers while links are bad; the rest carries the news.
        }
        Member receiver = table.get(to);
        if (to != table.self() && receiver.state != MemberState.ALIVE) {
            addEntry(receiver);
            return out.finish(); // It may well be gone; news would be wasted on it.
        }
        boolean hasGossip = gossipQueue.hasPending();
        gossipQueue.drain(maxSends(), this::addEntryIfRoom);
        if (!hasGossip) {
            addFillEntries();
        }
        return out.finish();
    }

    /** News that was lost on every way would never be told again; so a little plain state rides along. */
    private void addFillEntries() {
        int fill = Math.min(MAX_FILL_ENTRIES, table.size());
        for (int each = 0; each < fill && out.hasRoom(); each++) {
            lastFillIndex = (lastFillIndex + 1) % table.size();
            addEntry(table.get(lastFillIndex));
        }
    }

    private boolean addEntryIfRoom(int index) {
        boolean hasRoom = out.hasRoom();
        if (hasRoom) {
            addEntry(table.get(index));
        }
        return hasRoom;
    }

    private void addEntry(Member member) {
        if (member.state != MemberState.UNHEARD) {
            out.addEntry(member.index, member.state, member.incarnation, member.accusers, member.silentSince);
        }
    }

    /** Sends the checksums of all stretches of the list; the other answers with what it holds where its own differ. */
    void sendChecksums(int to) {
        begin(Datagram.Kind.CHECKSUMS, table.size(), to);
        for (short each : table.checksums()) {
            out.addChecksum(each);
        }
        transmit(to, out.finish());
    }

    /** Answers another's checksums with what is held of the stretches that differ, as much as a few datagrams take. */
    void sendDifferences(int to, short[] others, int firstRange) {
        int remaining = MAX_DIFFERENCE_DATAGRAMS;
        begin(Datagram.Kind.GOSSIP, 0, table.self());
        for (int each = 0; each < others.length; each++) {
            int range = (firstRange + each) % others.length;
            if (table.checksums()[range] == others[range]) {
                continue;
            }
            for (int index = table.rangeStart(range); index < table.rangeStart(range + 1); index++) {
                addEntry(table.get(index));
                if (!out.hasRoom()) {
                    transmit(to, out.finish());
                    if (--remaining == 0) {
                        return;
                    }
                    begin(Datagram.Kind.GOSSIP, 0, table.self());
                }
            }
        }
        transmit(to, out.finish());
    }

    /** Sends what is known of the members from a place on, as much as fits; the last piece names place 0 as next. */
    void sendState(int to, int firstIndex) {
        begin(Datagram.Kind.STATE_REPLY, firstIndex, 0);
        int next = Math.max(0, firstIndex);
        while (next < table.size() && out.hasRoom()) {
            addEntry(table.get(next++));
        }
        transmit(to, next < table.size() ? out.subject(next).finish() : out.finish());
    }

    /** Datagrams sent so far. */
    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }
}
