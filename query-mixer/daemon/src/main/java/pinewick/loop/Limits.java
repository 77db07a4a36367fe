package pinewick.loop;

import com.google.gson.JsonObject;

/**
 * Every size, count and time that bounds the network code, filled at start and handed down. The figures of
 * the deployment come from its settings; the others are the program's own and stand here alone.
 */
public record Limits(
        /* clients */
        int maxBodyBytes,
        int maxConcurrentBodies,
        int maxHeaderBytes,
        int maxClientConnections,
        int crowdedDivisor,
        double noRequestTimeoutSeconds,
        double noRequestMinSeconds,
        double clientIdleTimeoutSeconds,
        double clientIdleMinSeconds,
        double requestReadTimeoutSeconds,
        double requestReadMinSeconds,
        double lingerSeconds,
        long maxDiscardBytes,
        double livenessCheckSeconds,
        double responseWriteTimeoutSeconds,
        double maxQueryTimeoutSeconds,
        /* searchers */
        int maxFrameBytes,
        int maxPartsPerCall,
        int maxCallsPerConnection,
        int maxConnectionsPerReplica,
        double connectTimeoutSeconds,
        double maxConnectSeconds,
        double connectionIdleSeconds,
        double probeTimeoutSeconds,
        double frameCompletionTimeoutSeconds,
        int maxPendingResponses,
        int maxRememberedResponses,
        int maxQueuedControlFrames,
        int maxReplicaConnections,
        int shardCount,
        /* discovery */
        int maxListObjectBytes,
        /* held and said */
        int maxOpenItems,
        double backstopDelaySeconds,
        int maxLogLinesPerSecond,
        /* the end: how long the front may still send, and how long a stop takes at most, from the signal on */
        double drainNoticeSeconds,
        double maxShutdownSeconds,
        double lastResponseSeconds,
        double logDrainSeconds,
        /* the program itself */
        double warmUpSeconds,
        double housekeepingIntervalSeconds,
        int backlog,
        int bufferBytes,
        int maxPooledBuffers,
        /* falling behind: the wait borne and what is told those turned away as shares of the goal; what fades after */
        double tolerableLagShare,
        double lagDecaySeconds,
        double retryAfterShare) {

    private static final int OWN_SOCKETS = 40; // the program's files, selectors, pipes, discovery
    private static final int LEAST_SOCKETS = OWN_SOCKETS + 24; // a few clients and a few searchers
    private static final int BODY = 64 << 10;

    /** From the configuration that a mixer is started with. */
    public static Limits of(JsonObject config) {
        JsonObject limits = config.getAsJsonObject("limits");
        JsonObject settings = config.getAsJsonObject("settings");
        JsonObject bounds = settings.getAsJsonObject("bounds");
        JsonObject family = settings.getAsJsonObject("family-info");
        int sockets = (int) number(limits, "sockets", 1024);
        if (sockets < LEAST_SOCKETS) {
            throw new IllegalArgumentException(
                    "limits.sockets is " + sockets + ", and at least " + LEAST_SOCKETS + " are needed");
        }
        double dial = number(bounds, "dial-timeout-ns", 250e6) / 1e9;
        double idle = number(bounds, "conn-idle-ns", 15e9) / 1e9;
        double longest = 3;
        for (var grade : settings.getAsJsonArray("categories")) {
            longest = Math.max(longest, number(grade.getAsJsonObject(), "hard-limit-ns", 3e9) / 1e9);
        }
        JsonObject known = config.has("known") && config.get("known").isJsonObject()
                ? config.getAsJsonObject("known")
                : new JsonObject();
        int searchers = known.has("members") ? known.getAsJsonArray("members").size() : 0;
        // What searchers' connections can be seen to need; the rest is the clients'.
        int client = sockets - OWN_SOCKETS - Math.min((sockets - OWN_SOCKETS) / 2, Math.max(48, 4 * searchers));
        return new Limits(
                BODY,
                64,
                16 << 10,
                client,
                4,
                2,
                1,
                30,
                2,
                2,
                0.5,
                0.5,
                256 << 10,
                0.03,
                5,
                3600,
                BODY,
                (int) number(family, "per-call", 1),
                (int) number(bounds, "multiplex", 1),
                32,
                dial,
                8 * dial,
                idle - Math.min(1, idle / 5),
                dial,
                0.2,
                512,
                8,
                1024,
                sockets - OWN_SOCKETS - client,
                (int) number(family, "slabs", Integer.MAX_VALUE),
                4 << 20,
                (int) number(bounds, "max-open", 20000),
                0.01,
                50,
                0.55,
                longest + 0.62,
                0.05,
                0.05,
                0.15,
                0.25,
                1024,
                8 << 10,
                256,
                0.05,
                0.5,
                0.5);
    }

    private static double number(JsonObject from, String key, double absent) {
        return from != null && from.has(key) && !from.get(key).isJsonNull()
                ? from.get(key).getAsDouble()
                : absent;
    }
}
