package pinewick.fleet;

/** Composes, sends and counts this router's datagrams, each with as much gossip as fits. */
final class DatagramSender {
    /** Maximum number of datagrams that answer one set of checksums. */
    private static final int MAX_DIFFERENCE_DATAGRAMS = 2;
    /** Maximum number of entries of known state that fill a datagram without pending gossip. */
    private static final int MAX_FILL_ENTRIES = 4;
    /** Number of sends that an update counts as when another member sends it too. */
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

    /** Discards all pending gossip after a change of the member list. */
    void onMembersReplaced() {
        gossipQueue.resize(table.size());
    }

    /** Enqueues an update about this member for gossip. */
    void enqueueGossip(Member member) {
        gossipQueue.add(member.index);
    }

    /** Counts an update about this member that another member also sent. */
    void onDuplicateGossip(Member member) {
        gossipQueue.recordDuplicate(member.index, SENDS_PER_DUPLICATE, maxSends());
    }

    /** Number of members with a pending update. */
    int pendingGossip() {
        return gossipQueue.pending();
    }

    /** Number of times that each update is sent: grows with the logarithm of the member count. */
    private int maxSends() {
        return settings.retransmitMultiplier() * (int) Math.ceil(Math.log10(table.size() + 1));
    }

    /** Sends a datagram with gossip to a member. */
    void send(int to, Datagram.Kind kind, int number, int subject) {
        transmit(to, compose(to, kind, number, subject));
    }

    /** Sends a datagram that carries only gossip to a member. */
    void sendGossip(int to) {
        send(to, Datagram.Kind.GOSSIP, 0, table.self());
    }

    /** Broadcasts this router's own state; without a broadcast, sends it to some members. */
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

    /** Broadcasts this router's shutdown and repeats it to some members. */
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

    /**
     * Composes a datagram: the state of a receiver that is not alive, or else pending gossip, or else some known
     * state.
     */
    private byte[] compose(int to, Datagram.Kind kind, int number, int subject) {
        begin(kind, number, subject);
        if (kind == Datagram.Kind.PING_REQUEST
                || kind == Datagram.Kind.INDIRECT_ACK
                || kind == Datagram.Kind.INDIRECT_NACK
                || kind == Datagram.Kind.STATE_REQUEST) {
            return out.finish(); // These kinds are frequent while links are bad; the other kinds carry the gossip.
        }
        Member receiver = table.get(to);
        if (to != table.self() && receiver.state != MemberState.ALIVE) {
            addEntry(receiver);
            return out.finish(); // The receiver may be gone; gossip would be wasted on it.
        }
        boolean hasGossip = gossipQueue.hasPending();
        gossipQueue.drain(maxSends(), this::addEntryIfRoom);
        if (!hasGossip) {
            addFillEntries();
        }
        return out.finish();
    }

    /** Adds some known state: an update of which every copy was lost would otherwise never be sent again. */
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

    /**
     * Sends the checksums of all ranges of the member list; the receiver answers with its entries where they
     * differ.
     */
    void sendChecksums(int to) {
        begin(Datagram.Kind.CHECKSUMS, table.size(), to);
        for (short each : table.checksums()) {
            out.addChecksum(each);
        }
        transmit(to, out.finish());
    }

    /** Answers checksums with the entries of differing ranges, as many as fit into a few datagrams. */
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

    /** Sends the known states from an index on, as many as fit; the last part names 0 as the next index. */
    void sendState(int to, int firstIndex) {
        begin(Datagram.Kind.STATE_REPLY, firstIndex, 0);
        int next = Math.max(0, firstIndex);
        while (next < table.size() && out.hasRoom()) {
            addEntry(table.get(next++));
        }
        transmit(to, next < table.size() ? out.subject(next).finish() : out.finish());
    }

    /** Number of datagrams sent. */
    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }
}
