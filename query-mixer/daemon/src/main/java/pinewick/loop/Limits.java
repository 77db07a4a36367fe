package pinewick.loop;

import com.google.gson.JsonObject;

/**
 * All sizes, counts and times that bound the network code, set at start and passed down. Limits of the deployment come
 * from its settings; the others are defined only here.
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
        /* replicas */
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
        /* queries held and lines logged */
        int maxOpenItems,
        double backstopDelaySeconds,
        int maxLogLinesPerSecond,
        /*
         * shutdown: how long the front may still send, and how long a shutdown takes at most, counted from the signal
         */
        double drainNoticeSeconds,
        double maxShutdownSeconds,
        double lastResponseSeconds,
        double logDrainSeconds,
        /* the process itself */
        double warmUpSeconds,
        double housekeepingIntervalSeconds,
        int backlog,
        int bufferBytes,
        int maxPooledBuffers,
        /*
         * load shedding: the tolerable wait and the retry advice as shares of the goal; the decay time of observations
         */
        double tolerableLagShare,
        double lagDecaySeconds,
        double retryAfterShare) {

    private static final int RESERVED_SOCKETS = 40; // the program's files, selectors, pipes, discovery
    private static final int MIN_SOCKETS = RESERVED_SOCKETS + 24; // a few clients and a few replicas
    private static final int MAX_BODY_BYTES = 64 << 10;

    /**
     * Reads the limits from the configuration that a router is started with; throws IllegalArgumentException if they
     * are too low.
     */
    public static Limits of(JsonObject config) {
        JsonObject limits = config.getAsJsonObject("limits");
        JsonObject settings = config.getAsJsonObject("settings");
        JsonObject bounds = settings.getAsJsonObject("bounds");
        JsonObject family = settings.getAsJsonObject("family-info");
        int sockets = (int) number(limits, "sockets", 1024);
        if (sockets < MIN_SOCKETS) {
            throw new IllegalArgumentException(
                    "limits.sockets is " + sockets + ", and at least " + MIN_SOCKETS + " are required");
        }
        double connectTimeout = number(bounds, "dial-timeout-ns", 250e6) / 1e9;
        double idle = number(bounds, "conn-idle-ns", 15e9) / 1e9;
        double longestDeadline = 3;
        for (var serviceClass : settings.getAsJsonArray("categories")) {
            longestDeadline =
                    Math.max(longestDeadline, number(serviceClass.getAsJsonObject(), "hard-limit-ns", 3e9) / 1e9);
        }
        JsonObject known = config.has("known") && config.get("known").isJsonObject()
                ? config.getAsJsonObject("known")
                : new JsonObject();
        int replicas = known.has("members") ? known.getAsJsonArray("members").size() : 0;
        // Descriptors that connections to replicas are expected to need; the rest is for clients.
        int clientSockets =
                sockets - RESERVED_SOCKETS - Math.min((sockets - RESERVED_SOCKETS) / 2, Math.max(48, 4 * replicas));
        return new Limits(
                MAX_BODY_BYTES,
                64,
                16 << 10,
                clientSockets,
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
                MAX_BODY_BYTES,
                (int) number(family, "per-call", 1),
                (int) number(bounds, "multiplex", 1),
                32,
                connectTimeout,
                8 * connectTimeout,
                idle - Math.min(1, idle / 5),
                connectTimeout,
                0.2,
                512,
                8,
                1024,
                sockets - RESERVED_SOCKETS - clientSockets,
                (int) number(family, "slabs", Integer.MAX_VALUE),
                4 << 20,
                (int) number(bounds, "max-open", 20000),
                0.01,
                50,
                0.55,
                longestDeadline + 0.62,
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

    private static double number(JsonObject from, String key, double defaultValue) {
        return from != null && from.has(key) && !from.get(key).isJsonNull()
                ? from.get(key).getAsDouble()
                : defaultValue;
    }
}
