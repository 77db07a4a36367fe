package pinewick.control;

/**
 * Counts the disks that have one removal, and runs a callback once they are enough: one more than may be lost at once,
 * and not only that of this process. Control loop only.
 */
final class DurableCopies {
    private final int required;
    private final Runnable onDurable;
    private boolean local;
    private int remote;
    private boolean complete;

    /** @param toleratedLosses number of disks that may be lost at the same time (f) */
    DurableCopies(int toleratedLosses, Runnable onDurable) {
        this.required = toleratedLosses + 1;
        this.onDurable = onDurable;
    }

    /** The disk of this process has the removal. */
    void addLocal() {
        local = true;
        runIfComplete();
    }

    /** The disk of another controller has the removal; to be called once for each. */
    void addRemote() {
        remote++;
        runIfComplete();
    }

    private void runIfComplete() {
        int copies = remote + (local ? 1 : 0);
        if (!complete && remote > 0 && copies >= required) {
            complete = true;
            onDurable.run();
        }
    }
}
