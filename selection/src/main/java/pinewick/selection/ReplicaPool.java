package pinewick.selection;

import java.util.ArrayList;
import java.util.List;
import pinewick.model.EngineSpec;
import pinewick.model.Stage;

/** What the replicas of one service and stage have in common: what their kind takes, and their averages. */
final class ReplicaPool {
    /** Pages: a decode replica reads at about half the pace of a prefill replica. */
    private static final double WHOLE_READ_FACTOR = 2;
    /** Of the first guess, the part for the first step of a prompt that was read elsewhere. */
    private static final double FIRST_STEP_SHARE = 0.25;

    private final Stage stage;
    private final ServiceTimeModel[] models = new ServiceTimeModel[CallKind.values().length];
    private final List<ReplicaMeasurements> members = new ArrayList<>();
    private EngineSpec engine;
    private final SmoothedRate calls = new SmoothedRate();
    private double averagedAtMs = Double.NaN;
    private double averageExcessMs;
    private double averageLowestMs;
    private double averageStepMs;

    ReplicaPool(Stage stage) {
        this.stage = stage;
        for (int kind = 0; kind < models.length; kind++) {
            models[kind] = new ServiceTimeModel();
        }
    }

    void setEngine(EngineSpec engine) {
        this.engine = engine;
    }

    EngineSpec engine() {
        return engine;
    }

    Stage stage() {
        return stage;
    }

    void add(ReplicaMeasurements member) {
        members.add(member);
        averagedAtMs = Double.NaN;
    }

    void remove(ReplicaMeasurements member) {
        members.remove(member);
        averagedAtMs = Double.NaN;
    }

    /** The times of this kind of call, with a first guess from this request where nothing was measured. */
    ServiceTimeModel model(CallKind kind, RequestShape request, double firstGuessMs) {
        ServiceTimeModel model = models[kind.ordinal()];
        if (model.empty()) {
            int tokens = request.promptTokens();
            if (kind == CallKind.DECODE_FETCHED && engine != null) {
                double bytes = (double) tokens * engine.kvTokenBytes();
                model.guess(tokens, firstGuessMs * FIRST_STEP_SHARE, PriceModel.moveMs(bytes, engine.linkBandwidthMbps()));
            } else if (kind == CallKind.DECODE_WHOLE) {
                model.guess(tokens, FIRST_STEP_SHARE * firstGuessMs, WHOLE_READ_FACTOR * firstGuessMs);
            } else if (kind == CallKind.PREFILL) {
                model.guess(tokens, FIRST_STEP_SHARE * firstGuessMs, (1 - FIRST_STEP_SHARE) * firstGuessMs);
            } else {
                model.guess(0, firstGuessMs, 0);
            }
        }
        return model;
    }

    ServiceTimeModel model(CallKind kind) {
        return models[kind.ordinal()];
    }

    /** This router has begun a call to one of them. */
    void began(double nowMs) {
        calls.add(nowMs);
    }

    /**
     * The time that others lose, all together, while a replica is held for this long: those that come meanwhile, half of it
     * each on average.
     */
    double delayOfOthersMs(double heldMs, int routers, double nowMs) {
        double callsPerMs = calls.perMs(nowMs) * routers / Math.max(1, members.size());
        return callsPerMs * heldMs * heldMs / 2;
    }

    /** R - s of the replicas heard from; 0 if there is none. */
    double averageExcessMs(double nowMs) {
        average(nowMs);
        return averageExcessMs;
    }

    /** The lowest recent answer time, on average over the replicas heard from; infinite if there is none. */
    double averageLowestMs(double nowMs) {
        average(nowMs);
        return averageLowestMs;
    }

    /** Time of one token, on average over the replicas that have streamed; 0 if there is none. */
    double averageStepMs(double nowMs) {
        average(nowMs);
        return averageStepMs;
    }

    private void average(double nowMs) {
        if (averagedAtMs == nowMs) {
            return;
        }
        averagedAtMs = nowMs;
        double excess = 0;
        double lowest = 0;
        double step = 0;
        int heard = 0;
        int withLowest = 0;
        int withStep = 0;
        for (int each = 0; each < members.size(); each++) {
            ReplicaMeasurements member = members.get(each);
            if (member.heard()) {
                excess += member.ownExcessMs();
                heard++;
            }
            if (member.lowestMs() < Double.POSITIVE_INFINITY) {
                lowest += member.lowestMs();
                withLowest++;
            }
            if (member.lowestStepMs() < Double.POSITIVE_INFINITY) {
                step += member.lowestStepMs();
                withStep++;
            }
        }
        averageExcessMs = heard == 0 ? 0 : excess / heard;
        averageLowestMs = withLowest == 0 ? Double.POSITIVE_INFINITY : lowest / withLowest;
        averageStepMs = withStep == 0 ? 0 : step / withStep;
    }
}
