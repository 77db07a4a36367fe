package pinewick.membership;

import pinewick.membership.MembershipMessages.PeerEntry;

/** A peer in a view: the youngest entry seen of it, and an estimate of when that entry was made, in local time. */
final class KnownPeer {
    private PeerEntry entry;
    /** Local time at the peer's heartbeat 0, estimated from above. */
    private double offsetMs;

    KnownPeer(PeerEntry entry, double nowMs) {
        this.entry = entry;
        this.offsetMs = nowMs - entry.heartbeat();
    }

    PeerEntry entry() {
        return entry;
    }

    NodeDescriptor node() {
        return entry.node();
    }

    /** Takes an entry if it is younger; returns whether it was. */
    boolean update(PeerEntry other, double nowMs) {
        if (!other.newerThan(entry)) {
            return false;
        }
        double offset = nowMs - other.heartbeat();
        boolean sameLife = other.node().incarnation() == entry.node().incarnation();
        offsetMs = sameLife ? Math.min(offsetMs, offset) : offset;
        entry = other;
        return true;
    }

    /** When the entry was made, at the latest. */
    double madeAtMs() {
        return offsetMs + entry.heartbeat();
    }

    /** The heartbeat that the peer had at a local time, at the least. */
    long heartbeatAt(double timeMs) {
        return (long) Math.floor(timeMs - offsetMs);
    }
}
