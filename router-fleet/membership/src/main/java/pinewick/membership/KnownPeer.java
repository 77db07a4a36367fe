package pinewick.membership;

import pinewick.membership.MembershipMessages.PeerEntry;

/** A peer in a view: its newest known entry, and an estimate of the local time at which the entry was created. */
final class KnownPeer {
    private PeerEntry entry;
    /** Upper bound of the local time at which the peer's heartbeat was 0, milliseconds. */
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

    /** Replaces the entry if {@code other} is newer; returns whether it was. */
    boolean update(PeerEntry other, double nowMs) {
        if (!other.isNewerThan(entry)) {
            return false;
        }
        double offset = nowMs - other.heartbeat();
        boolean isSameIncarnation = other.node().incarnation() == entry.node().incarnation();
        offsetMs = isSameIncarnation ? Math.min(offsetMs, offset) : offset;
        entry = other;
        return true;
    }

    /** Upper bound of the local time at which the entry was created, milliseconds. */
    double entryTimeMs() {
        return offsetMs + entry.heartbeat();
    }

    /** Lower bound of the peer's heartbeat at a local time. */
    long heartbeatAt(double timeMs) {
        return (long) Math.floor(timeMs - offsetMs);
    }
}
