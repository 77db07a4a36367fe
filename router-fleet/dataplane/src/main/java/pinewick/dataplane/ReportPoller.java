package pinewick.dataplane;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import pinewick.model.ReplicaRecord;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.selection.LoadReport;

/**
 * Polls replicas for their load reports. Among the routers that know each other, each replica is polled by the one that
 * ranks highest for it by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 1998). Since
 * each poll has a cost, a replica is not polled again before it has responded or the poll has timed out.
 */
final class ReportPoller {
    private static final double TIMEOUT_MS = 1_000;
    /** A longer response to a poll is no load report, bytes. */
    static final int MAX_REPORT_BYTES = 64 * 1024;
    /** A report younger than this fraction of the poll interval was polled by another router. */
    private static final double RECENT_REPORT_FRACTION = 0.75;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = 32;

    private final DataPlaneServices services;
    private final BiConsumer<String, LoadReport> onReport;
    private final Set<String> polledInstances = new HashSet<>();

    /** @param onReport called with the instance and its report */
    ReportPoller(DataPlaneServices services, BiConsumer<String, LoadReport> onReport) {
        this.services = services;
        this.onReport = onReport;
    }

    /**
     * Polls the replicas that this router is responsible for.
     *
     * @param self this router
     * @param others the other routers it knows
     * @param intervalMs time until the next invocation
     */
    void poll(SocketAddress self, List<SocketAddress> others, double intervalMs) {
        for (ReplicaRecord replica : services.directory().all()) {
            if (shouldPoll(replica) && !hasRecentReport(replica, intervalMs) && ranksFirst(self, others, replica)) {
                new PendingPoll(replica).send();
            }
        }
    }

    /**
     * Whether a replica is polled. Replicas without an inference engine are not: the number of calls in flight is as
     * good a measure of their load, and each poll has a cost.
     */
    private boolean shouldPoll(ReplicaRecord replica) {
        return replica.stage() != Stage.NONE
                && replica.acceptsRequests()
                && !polledInstances.contains(replica.instanceId());
    }

    /**
     * Whether another router has polled the replica recently, since routers that do not know each other may both rank
     * first for it.
     */
    private boolean hasRecentReport(ReplicaRecord replica, double intervalMs) {
        double ageMs = services.selector()
                .loadReportAgeMs(replica.instanceId(), services.timers().nowMs());
        return ageMs < RECENT_REPORT_FRACTION * intervalMs;
    }

    /** Whether {@code self} ranks first for a replica among the routers; ties go to the lower address. */
    static boolean ranksFirst(SocketAddress self, List<SocketAddress> others, ReplicaRecord replica) {
        long own = rank(self, replica);
        for (SocketAddress other : others) {
            long theirs = rank(other, replica);
            if (theirs > own || (theirs == own && other.compareTo(self) < 0)) {
                return false;
            }
        }
        return true;
    }

    private static long rank(SocketAddress router, ReplicaRecord replica) {
        long mixed = (router.toString().hashCode() * HASH_MULTIPLIER)
                ^ replica.instanceId().hashCode();
        mixed = (mixed ^ (mixed >>> HASH_SHIFT)) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> HASH_SHIFT);
    }

    /** Parses the JSON body of a load report; empty if it is invalid. */
    static Optional<LoadReport> parse(byte[] body, double nowMs) {
        try {
            JsonElement json = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
            if (!(json instanceof JsonObject report)) {
                return Optional.empty();
            }
            JsonElement stage = report.get("stage");
            return Optional.of(new LoadReport(
                    Stage.parse(stage == null || stage.isJsonNull() ? "" : stage.getAsString())
                            .orElse(Stage.NONE),
                    report.has("busy") && report.get("busy").getAsBoolean(),
                    number(report, "call_sequence"),
                    (int) number(report, "waiting"),
                    (int) number(report, "running"),
                    number(report, "kv_used"),
                    number(report, "kv_total"),
                    (int) number(report, "prefill_handles"),
                    nowMs));
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static long number(JsonObject report, String name) {
        JsonElement value = report.get(name);
        return value == null || value.isJsonNull() ? 0 : value.getAsLong();
    }

    /** One poll of one replica. */
    private final class PendingPoll implements CallListener {
        private final ReplicaRecord replica;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private UpstreamCall call;
        private Timers.Timer timeout;
        private boolean isUsable;

        PendingPoll(ReplicaRecord replica) {
            this.replica = replica;
        }

        void send() {
            polledInstances.add(replica.instanceId());
            HttpFields.Mutable fields = HttpFields.build();
            fields.put(HttpHeader.HOST, replica.address().toString());
            fields.put(HeaderNames.EXPECTED_INSTANCE, replica.instanceId());
            call = services.upstream()
                    .send(replica, new UpstreamRequest("GET", "/report", fields, UpstreamRequest.NO_BODY, null), this);
            timeout = services.timers().schedule(TIMEOUT_MS, () -> {
                call.abort();
                finish();
            });
        }

        private void finish() {
            timeout.cancel();
            polledInstances.remove(replica.instanceId());
        }

        @Override
        public void onNotSent(NotSent reason) {
            finish();
        }

        @Override
        public void onHead(ResponseHead head) {
            isUsable = head.status() == HttpStatus.OK_200 && head.framed();
        }

        @Override
        public void onContent(ByteBuffer content) {
            if (body.size() + content.remaining() > MAX_REPORT_BYTES) {
                call.abort();
                finish();
                return;
            }
            byte[] bytes = new byte[content.remaining()];
            content.get(bytes);
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            finish();
            if (isUsable) {
                parse(body.toByteArray(), services.timers().nowMs())
                        .ifPresent(report -> onReport.accept(replica.instanceId(), report));
            }
        }

        @Override
        public void onFailure(String reason) {
            finish();
        }
    }
}
