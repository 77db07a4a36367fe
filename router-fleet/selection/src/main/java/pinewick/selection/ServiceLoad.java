package pinewick.selection;

/**
 * The load of the replicas that are eligible for a request.
 *
 * @param capacity requests that they can process at the same time, in total
 * @param inUse how much of the capacity is in use, by their load reports and this router's own calls
 * @param queued requests queued beyond the capacity
 * @param queueingDelayMs the lowest queueing delay of the decode replicas, milliseconds
 * @param serviceMs the lowest service time of the request, milliseconds
 */
record ServiceLoad(double capacity, double inUse, double queued, double queueingDelayMs, double serviceMs) {
    /** While less than this fraction of the capacity is in use and none is queued, no request is rejected. */
    private static final double BUSY_FRACTION = 0.5;

    /** Whether rejections are justified: half of the capacity is in use, or requests are queued. */
    boolean isBusy() {
        return queued > 0 || inUse >= BUSY_FRACTION * capacity;
    }
}
