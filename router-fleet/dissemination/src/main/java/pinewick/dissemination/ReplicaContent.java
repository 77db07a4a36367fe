package pinewick.dissemination;

import java.util.Optional;
import pinewick.model.ReplicaRecord;

/**
 * Compares and hashes the part of a replica record that concerns routers: everything except the call sequence and
 * the remaining warm-up time, which change with each heartbeat.
 */
final class ReplicaContent {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private ReplicaContent() {}

    /** Whether two records of one instance are equal for routers, or both are absent. */
    static boolean isSame(Optional<ReplicaRecord> left, Optional<ReplicaRecord> right) {
        return (left.isPresent() && right.isPresent())
                ? isSame(left.get(), right.get())
                : left.isEmpty() && right.isEmpty();
    }

    /** Whether two records of one instance are equal for routers. */
    static boolean isSame(ReplicaRecord left, ReplicaRecord right) {
        return left.state() == right.state()
                && left.lapsed() == right.lapsed()
                && left.stage() == right.stage()
                && left.slots() == right.slots()
                && left.service().equals(right.service())
                && left.address().equals(right.address())
                && left.zone().equals(right.zone())
                && left.softwareVersion().equals(right.softwareVersion())
                && left.models().equals(right.models());
    }

    /** A hash of the content; equal in every process. */
    static long hash(ReplicaRecord record) {
        long hash = mix(FNV_OFFSET, record.instanceId());
        hash = mix(hash, record.service());
        hash = mix(hash, record.address().host());
        hash = mix(hash, record.address().port());
        hash = mix(hash, record.zone());
        hash = mix(hash, record.softwareVersion());
        hash = mix(hash, record.slots());
        hash = mix(hash, record.state().ordinal());
        hash = mix(hash, record.stage().ordinal());
        hash = mix(hash, record.lapsed() ? 1 : 0);
        for (ReplicaRecord.ModelVersion model : record.models()) {
            hash = mix(mix(hash, model.name()), model.version());
        }
        return finish(hash);
    }

    private static long mix(long hash, String text) {
        long mixed = hash;
        for (int i = 0; i < text.length(); i++) {
            mixed = mix(mixed, text.charAt(i));
        }
        return mix(mixed, -1);
    }

    private static long mix(long hash, int value) {
        return (hash ^ value) * FNV_PRIME;
    }

    /** Mixes the bits, because the hashes are added up and truncated. */
    private static long finish(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ (mixed >>> 33);
    }
}
