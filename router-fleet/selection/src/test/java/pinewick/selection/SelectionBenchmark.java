package pinewick.selection;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import pinewick.model.ReplicaRecord;
import pinewick.model.Stage;

/** Prints the time of one request's admission, choice and measurements. Run by hand. */
public final class SelectionBenchmark {
    private SelectionBenchmark() {}

    public static void main(String[] arguments) {
        for (int count : new int[] {8, 40}) {
            ReplicaSelector selector = new ReplicaSelector(new SplittableRandom(1));
            AdmissionControl admission = new AdmissionControl(selector, new SplittableRandom(1));
            selector.setEngine("s", RequestShapes.ENGINE);
            selector.setRouterCount(9);
            List<ReplicaRecord> replicas = new ArrayList<>();
            for (int each = 0; each < count; each++) {
                replicas.add(RequestShapes.replica("r" + each, each * 3 < count ? Stage.PREFILL : Stage.DECODE));
            }
            for (int round = 0; round < 4; round++) {
                long from = System.nanoTime();
                int requests = 50_000;
                double now = round * 1e6;
                for (int each = 0; each < requests; each++) {
                    now += 10;
                    serve(selector, admission, replicas, RequestShapes.generation(each % 120, 13_000, 3_000, now), now);
                }
                System.out.printf(
                        "%d candidates: %.1f microseconds a request%n",
                        count, (System.nanoTime() - from) / 1e3 / requests);
            }
        }
    }

    private static void serve(
            ReplicaSelector selector,
            AdmissionControl admission,
            List<ReplicaRecord> replicas,
            RequestShape request,
            double now) {
        admission.decide(request, replicas, now);
        ReplicaPair pair = selector.choose(request, replicas, Set.of(), now).orElseThrow();
        if (pair.prefill().isPresent()) {
            selector.startCall(pair.prefill().get(), CallKind.PREFILL, request, now)
                    .onEnd(CallOutcome.COMPLETED, now + 50);
            ReplicaSelector.Call call = selector.startDisaggregatedDecode(
                    pair.decode(), pair.prefill().get(), request, now + 50);
            call.onFirstEvent(now + 100);
            call.onEnd(CallOutcome.COMPLETED, now + 120);
        } else {
            ReplicaSelector.Call call = selector.startCall(pair.decode(), CallKind.AGGREGATED_DECODE, request, now);
            call.onFirstEvent(now + 100);
            call.onEnd(CallOutcome.COMPLETED, now + 120);
        }
    }
}
