package pinewick.selection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pinewick.model.EngineSpec;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * A queueing model of one replica with an engine, as the protocol page describes it: a batch of slots that advances in
 * steps, chunked prefill between the decode steps of other requests, an LRU prefix cache, and KV transfers one at a
 * time.
 */
final class VirtualEngine {
    /** Timing parameters of an engine. */
    record Timing(
            double stepMs,
            double stepPerSlotMs,
            double prefillTokensPerMs,
            double attentionMsPerMillionPairs,
            double deliveryDelayMs,
            double transferSetupMs,
            int maxChunkTokens) {
        static final Timing DEFAULT = new Timing(3.55, 0.0462, 157, 0.109, 26, 8, 2_048);
    }

    /** One call to the engine. */
    static final class Job {
        final List<PromptPart> parts;
        final int promptTokens;
        final int outputTokens;
        final boolean prefillOnly;
        double transferMs;
        int uncachedTokens;
        int position;
        int generatedTokens;
        Runnable onFirst = () -> {};
        Runnable onEvent = () -> {};
        Runnable onDone = () -> {};
        Runnable onRejected = () -> {};

        Job(List<PromptPart> parts, int outputTokens, boolean prefillOnly) {
            this.parts = parts;
            this.outputTokens = outputTokens;
            this.prefillOnly = prefillOnly;
            this.promptTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        }
    }

    /** A repeated prefill of a part is priced if the last use of the part was within this time. */
    static final double REPEAT_WINDOW_MS = 4_600;

    final EngineSpec spec;
    final Timing timing;
    final double speed;
    ReplicaRecord record;
    boolean unreachable;
    long tokensPrefilled;
    long sharedTokensPrefilled;
    double busyMs;
    int rejected;

    private final VirtualTime time;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cacheTokens;
    private double transfersEndAtMs;
    private boolean stepping;
    /** When each prefix was last used at any engine, milliseconds; shared by all engines of a fleet. */
    private final Map<Long, Double> lastUsedMs;

    /** Tokens of shared parts prefilled although some engine had used them within {@link #REPEAT_WINDOW_MS}. */
    long sharedTokensPrefilledAgain;

    VirtualEngine(
            VirtualTime time,
            String id,
            String zone,
            Stage stage,
            EngineSpec spec,
            Timing timing,
            double speed,
            Map<Long, Double> lastUsedMs) {
        this.lastUsedMs = lastUsedMs;
        this.time = time;
        this.spec = spec;
        this.timing = timing;
        this.speed = speed;
        this.record = new ReplicaRecord(
                id,
                "lm",
                new SocketAddress("10.0.0.1", 80),
                zone,
                "v1",
                spec.slots(),
                ReplicaState.READY,
                0,
                stage,
                List.of(new ReplicaRecord.ModelVersion("m", 1)),
                1,
                false);
    }

    boolean prefill() {
        return record.stage() == Stage.PREFILL;
    }

    int load() {
        return waiting.size() + running.size();
    }

    /** Makes the engine unreachable: its calls are lost, new ones get no response, and its cache is cleared. */
    void makeUnreachable(double forMs) {
        unreachable = true;
        waiting.clear();
        running.clear();
        time.after(forMs, () -> {
            unreachable = false;
            cache.clear();
            cacheTokens = 0;
            stepping = false;
            transfersEndAtMs = 0;
        });
    }

    /** Accepts a call that is prefilled here. */
    void accept(Job job) {
        if (unreachable) {
            return;
        }
        if (waiting.size() >= 3 * spec.slots()) {
            rejected++;
            time.after(0, job.onRejected);
            return;
        }
        waiting.add(job);
        step();
    }

    /** Accepts a call whose KV cache is transferred first. */
    void acceptWithTransfer(Job job) {
        if (unreachable) {
            return;
        }
        double startsAtMs = Math.max(time.now(), transfersEndAtMs);
        transfersEndAtMs = startsAtMs + timing.transferSetupMs + job.transferMs;
        time.after(transfersEndAtMs - time.now(), () -> {
            if (unreachable) {
                return;
            }
            addToCache(job.parts);
            waiting.add(job);
            job.uncachedTokens = -1;
            step();
        });
    }

    LoadReport report(double receivedAtMs) {
        long used = running.stream().mapToLong(job -> job.promptTokens).sum();
        return new LoadReport(
                record.stage(), false, 0, waiting.size(), running.size(), used, spec.kvCacheTokens(), 0, receivedAtMs);
    }

    private void step() {
        if (stepping || unreachable) {
            return;
        }
        while (running.size() < spec.slots() && !waiting.isEmpty()) {
            start(waiting.poll());
        }
        if (running.isEmpty()) {
            return;
        }
        stepping = true;
        double chunkTokensLeft = prefill() ? timing.maxChunkTokens : timing.maxChunkTokens / 4.0;
        double tokensPerMs = prefill() ? timing.prefillTokensPerMs : timing.prefillTokensPerMs / 2;
        double durationMs = timing.stepMs;
        List<Job> finishing = new ArrayList<>();
        for (Job job : running) {
            if (job.uncachedTokens <= 0) {
                durationMs += timing.stepPerSlotMs;
                finishing.add(job);
            } else if (chunkTokensLeft > 0) {
                int chunkTokens = (int) Math.min(chunkTokensLeft, job.uncachedTokens);
                chunkTokensLeft -= chunkTokens;
                job.uncachedTokens -= chunkTokens;
                durationMs += chunkTokens / tokensPerMs
                        + timing.attentionMsPerMillionPairs * chunkTokens * (job.position + chunkTokens / 2.0) / 1e6;
                job.position += chunkTokens;
                tokensPrefilled += chunkTokens;
                if (job.uncachedTokens == 0) {
                    finishing.add(job);
                }
            }
        }
        double scaledDurationMs = durationMs * speed;
        busyMs += scaledDurationMs;
        time.after(scaledDurationMs, () -> {
            if (!unreachable) {
                finish(finishing);
            }
        });
    }

    private void finish(List<Job> finishing) {
        stepping = false;
        for (Job job : finishing) {
            if (job.generatedTokens == 0) {
                addToCache(job.parts);
                time.after(timing.deliveryDelayMs, ifReachable(job.onFirst));
            }
            job.generatedTokens++;
            boolean done = job.prefillOnly || job.generatedTokens >= job.outputTokens;
            if (!job.prefillOnly
                    && job.generatedTokens > 1
                    && (done || (job.generatedTokens - 1) % spec.stride() == 0)) {
                time.after(timing.deliveryDelayMs, ifReachable(job.onEvent));
            }
            if (done) {
                running.remove(job);
                time.after(timing.deliveryDelayMs, ifReachable(job.onDone));
            }
        }
        step();
    }

    private Runnable ifReachable(Runnable action) {
        return () -> {
            if (!unreachable) {
                action.run();
            }
        };
    }

    private void start(Job job) {
        running.add(job);
        if (job.uncachedTokens < 0) {
            job.uncachedTokens = 0;
            return;
        }
        int cached = 0;
        for (int part = 0; part < job.parts.size() && cache.containsKey(key(job.parts, part)); part++) {
            cached += job.parts.get(part).tokens();
        }
        int shared = 0;
        for (int part = 0; part < job.parts.size() - 1; part++) {
            shared += job.parts.get(part).tokens();
            Double previousUseMs = lastUsedMs.put(key(job.parts, part), time.now());
            if (shared > cached && previousUseMs != null && time.now() - previousUseMs < REPEAT_WINDOW_MS) {
                sharedTokensPrefilledAgain += job.parts.get(part).tokens();
            }
        }
        sharedTokensPrefilled += Math.max(0, shared - cached);
        job.position = cached;
        job.uncachedTokens = Math.max(1, job.promptTokens - cached);
    }

    private static long key(List<PromptPart> parts, int last) {
        long hash = 17;
        for (int part = 0; part <= last; part++) {
            hash = hash * 1_000_003 + parts.get(part).id();
        }
        return hash;
    }

    private void addToCache(List<PromptPart> parts) {
        for (int part = parts.size() - 1; part >= 0; part--) {
            Integer before = cache.put(key(parts, part), parts.get(part).tokens());
            cacheTokens += before == null ? parts.get(part).tokens() : 0;
        }
        long runningTokens = running.stream().mapToLong(job -> job.promptTokens).sum() / 2;
        Iterator<Map.Entry<Long, Integer>> oldest = cache.entrySet().iterator();
        while (cacheTokens + runningTokens > spec.kvCacheTokens() && oldest.hasNext()) {
            cacheTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
