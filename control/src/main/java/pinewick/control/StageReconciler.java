package pinewick.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/**
 * Brings the stages of replicas to what the planner wants. Only the process that leads an epoch acts, under tokens of
 * that epoch; one round of reports is out at a time. Owned by the control loop.
 */
final class StageReconciler {
    /** How often {@link #run} is to be called, milliseconds. */
    static final int PERIOD_MS = 2_000;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LOG_PAUSE_SECONDS = 5;

    private final FleetAccess fleet;
    private final StagePlanner planner;
    private final ReplicaCalls calls;
    private final FencingTokens tokens;
    private final Supplier<Optional<Long>> leadingEpoch;
    private final TaskLoop loop;
    private boolean roundOut;

    /**
     * @param leadingEpoch the epoch that this process leads, present only once every earlier holder has ended
     */
    StageReconciler(
            FleetAccess fleet,
            StagePlanner planner,
            ReplicaCalls calls,
            FencingTokens tokens,
            Supplier<Optional<Long>> leadingEpoch,
            TaskLoop loop) {
        this.fleet = fleet;
        this.planner = planner;
        this.calls = calls;
        this.tokens = tokens;
        this.leadingEpoch = leadingEpoch;
        this.loop = loop;
    }

    /** Asks for reports, and orders what is due once they are in. */
    void run() {
        if (roundOut || leadingEpoch.get().isEmpty()) {
            return;
        }
        List<ReplicaRecord> replicas = fleet.replicas().stream()
                .filter(record -> record.stage() != Stage.NONE && record.takesRequests())
                .toList();
        if (!replicas.isEmpty()) {
            roundOut = true;
            new Round(replicas.size()).ask(replicas);
        }
    }

    /** One report of each replica. */
    private final class Round {
        private final List<ReplicaLoad> loads = new ArrayList<>();
        private int outstanding;

        Round(int outstanding) {
            this.outstanding = outstanding;
        }

        void ask(List<ReplicaRecord> replicas) {
            replicas.forEach(replica -> calls.report(replica, this::onReport));
        }

        private void onReport(Optional<ReplicaLoad> load) {
            load.ifPresent(loads::add);
            outstanding--;
            if (outstanding == 0) {
                roundOut = false;
                planner.plan(loads, loop.nowMs()).forEach(StageReconciler.this::order);
            }
        }
    }

    private void order(StagePlanner.Change change) {
        tokens.next(leadingEpoch.get())
                .ifPresent(fence -> calls.orderStage(
                        change.replica(), change.stage(), fence, status -> note(change, fence, status)));
    }

    private static void note(StagePlanner.Change change, FencingTokens.Fence fence, int status) {
        logger.atInfo().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
                "order %s to %s under %s: %d",
                change.stage().wireName(), change.replica().instanceId(), fence.token(), status);
    }
}
