package pinewick.selection;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import pinewick.model.ReplicaRecord;

/** The candidates of one stage for one request. The list is reused for every request to avoid allocations. */
final class CandidateList {
    /** At least this fraction of the candidates stays eligible, even if more of them are ejected. */
    private static final double MIN_ELIGIBLE_FRACTION = 0.5;
    /** About this many routers at a time probe a replica whose ejection is over. */
    private static final double PROBING_ROUTERS = 3;

    private static final int INITIAL_SIZE = 8;

    private ReplicaRecord[] records = new ReplicaRecord[INITIAL_SIZE];
    private ReplicaMeasurements[] measurements = new ReplicaMeasurements[INITIAL_SIZE];
    private int size;

    void clear() {
        Arrays.fill(records, 0, size, null);
        Arrays.fill(measurements, 0, size, null);
        size = 0;
    }

    void add(ReplicaRecord replica, ReplicaMeasurements candidate) {
        if (size == records.length) {
            records = Arrays.copyOf(records, 2 * size);
            measurements = Arrays.copyOf(measurements, 2 * size);
        }
        records[size] = replica;
        measurements[size++] = candidate;
    }

    int size() {
        return size;
    }

    ReplicaRecord replica(int index) {
        return records[index];
    }

    ReplicaMeasurements measurements(int index) {
        return measurements[index];
    }

    /** Removes ejected replicas, but never more than half of the candidates. */
    void removeEjected(int routers, RandomGenerator random, double nowMs) {
        int removable = size - (int) Math.ceil(MIN_ELIGIBLE_FRACTION * size);
        for (int each = size - 1; each >= 0 && removable > 0; each--) {
            ReplicaMeasurements candidate = measurements[each];
            if (candidate.isEjectionOver(nowMs) && random.nextDouble() * routers >= PROBING_ROUTERS) {
                candidate.extendEjection(nowMs, random.nextDouble());
            }
            if (candidate.isEjected(nowMs)) {
                removeAt(each);
                removable--;
            }
        }
    }

    private void removeAt(int index) {
        size--;
        records[index] = records[size];
        measurements[index] = measurements[size];
        records[size] = null;
        measurements[size] = null;
    }
}
