package pinewick.selection;

/**
 * How busy the replicas are that may take a request.
 *
 * @param capacity requests that they can process at the same time, in all
 * @param inUse how much of that is in use, by their reports and by this router's own calls
 * @param queued requests queued beyond that
 * @param queueingDelayMs the lowest queueing delay of the decode replicas, milliseconds
 * @param serviceMs the lowest service time of the request, milliseconds
 */
record ServiceLoad(double capacity, double inUse, double queued, double queueingDelayMs, double serviceMs) {
    /** A rejection counts as unnecessary below this fraction of the capacity. */
    private static final double BUSY_FRACTION = 0.5;

    /** Whether rejections are justified: half of the capacity is in use, or requests are queued. */
    boolean isBusy() {
        return queued > 0 || inUse >= BUSY_FRACTION * capacity;
    }
}
