package pinewick.dissemination;

import pinewick.model.ReplicaRecord;

/**
 * What of a replica record concerns routers: everything but the number of the call and the cold time that is left,
 * which change with each heartbeat.
 */
final class ReplicaContent {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private ReplicaContent() {}

    /** Whether two records of one instance say the same to a router; either may be null. */
    static boolean same(ReplicaRecord left, ReplicaRecord right) {
        if (left == null || right == null) {
            return left == right;
        }
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

    /** A hash of the content, alike in every process. */
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

    /** Spreads the bits, since hashes are added up and cut short. */
    private static long finish(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ (mixed >>> 33);
    }
}
