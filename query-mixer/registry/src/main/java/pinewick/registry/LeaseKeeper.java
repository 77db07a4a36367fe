package pinewick.registry;

import java.util.SplittableRandom;

/**
 * Keeps one key in the registry for as long as this process lives: grants a lease, puts the key under it and sends
 * keep-alives in time. No I/O; the caller passes the time, and randomness comes from a seeded generator. If the
 * registry no longer knows the lease, a new one is granted.
 */
public final class LeaseKeeper {
    /** Sends the requests; each response refers to its request id. */
    public interface Transport {
        void grant(long requestId, int endpoint, double ttlSeconds);

        void put(long requestId, int endpoint, long lease);

        void keepAlive(long requestId, int endpoint, long lease);

        void cancel(long requestId);
    }

    private enum Stage {
        GRANT,
        PUT,
        HELD,
        KEEP_ALIVE,
        BACKOFF,
        STOPPED
    }

    private static final double KEEP_ALIVE_FRACTION = 1.0 / 3;

    private final int endpointCount;
    private final double ttlSeconds;
    private final double timeoutSeconds;
    private final Transport transport;
    private final SplittableRandom random;
    private Stage stage = Stage.STOPPED;
    private Stage retryStage;
    private int endpoint;
    private int consecutiveFailures;
    private long requestId;
    private long lease;
    private double sentAt;
    private double dueAt;
    private double heldUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param ttlSeconds time to live of the lease without a keep-alive
     * @param timeoutSeconds time limit for each request
     */
    public LeaseKeeper(
            int endpointCount, double ttlSeconds, double timeoutSeconds, Transport transport, SplittableRandom random) {
        this.endpointCount = endpointCount;
        this.ttlSeconds = ttlSeconds;
        this.timeoutSeconds = timeoutSeconds;
        this.transport = transport;
        this.random = random;
        endpoint = random.nextInt(endpointCount);
    }

    public void start(double now) {
        send(now, Stage.GRANT);
    }

    public void stop() {
        if (requestId != 0) {
            transport.cancel(requestId);
        }
        requestId = 0;
        stage = Stage.STOPPED;
    }

    /** Whether, as far as this process knows, the lease is valid and other mixers can see its key. */
    public boolean isHeld(double now) {
        return now < heldUntil;
    }

    private void send(double now, Stage newStage) {
        stage = newStage;
        sentAt = now;
        requestId++;
        switch (newStage) {
            case GRANT -> transport.grant(requestId, endpoint, ttlSeconds);
            case PUT -> transport.put(requestId, endpoint, lease);
            default -> transport.keepAlive(requestId, endpoint, lease);
        }
    }

    public void tick(double now) {
        switch (stage) {
            case HELD -> {
                if (now >= dueAt) {
                    send(now, Stage.KEEP_ALIVE);
                }
            }
            case BACKOFF -> {
                if (now >= dueAt) {
                    send(now, retryStage);
                }
            }
            case GRANT, PUT, KEEP_ALIVE -> {
                if (now - sentAt > timeoutSeconds) {
                    transport.cancel(requestId);
                    onFailure(now, requestId);
                }
            }
            default -> {}
        }
    }

    /**
     * Handles a response with the lease and its remaining time to live; a time of 0 or less means that the registry
     * does not know the lease.
     */
    public void onResponse(double now, long responseTo, long leaseId, double remainingSeconds) {
        if (responseTo != requestId || stage == Stage.BACKOFF || stage == Stage.HELD || stage == Stage.STOPPED) {
            return;
        }
        consecutiveFailures = 0;
        switch (stage) {
            case GRANT -> {
                lease = leaseId;
                send(now, Stage.PUT);
            }
            case PUT -> onLeaseHeld(now, ttlSeconds);
            default -> {
                if (remainingSeconds <= 0) {
                    // Keep-alives for an expired lease have no effect, and this mixer would stay invisible to the
                    // others.
                    heldUntil = Double.NEGATIVE_INFINITY;
                    send(now, Stage.GRANT);
                } else {
                    onLeaseHeld(now, remainingSeconds);
                }
            }
        }
    }

    private void onLeaseHeld(double now, double remainingSeconds) {
        stage = Stage.HELD;
        heldUntil = sentAt + remainingSeconds;
        dueAt = now + remainingSeconds * KEEP_ALIVE_FRACTION * (0.8 + 0.4 * random.nextDouble());
    }

    /** Handles a failed request: it is sent to the next member after a growing, randomised backoff. */
    public void onFailure(double now, long responseTo) {
        if (responseTo != requestId || stage == Stage.BACKOFF || stage == Stage.HELD || stage == Stage.STOPPED) {
            return;
        }
        // A put whose outcome is unknown is safe to repeat: it writes the same key and value under the same lease.
        retryStage = stage;
        endpoint = (endpoint + 1) % endpointCount;
        double backoffSeconds = Math.min(ttlSeconds / 6, 0.05 * (1 << Math.min(consecutiveFailures++, 8)));
        dueAt = now + backoffSeconds * (0.5 + random.nextDouble());
        stage = Stage.BACKOFF;
        if (now >= heldUntil && retryStage == Stage.KEEP_ALIVE) {
            retryStage = Stage.GRANT;
        }
    }
}
