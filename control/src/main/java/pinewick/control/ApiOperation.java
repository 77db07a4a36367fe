package pinewick.control;

import java.util.Optional;

/** The calls of the HTTP API. */
enum ApiOperation {
    HEARTBEAT("POST", Limits.REPLICA_BODY),
    DEREGISTER("POST", Limits.REPLICA_BODY),
    REPLACE_CONFIGURATION("POST", Limits.CONFIGURATION_BODY),
    UPDATE_CONFIGURATION("POST", Limits.CONFIGURATION_BODY),
    READ_CONFIGURATION("GET", 0),
    STATUS("GET", 0);

    private static final String INSTANCES = "/instances/";
    private static final String HEARTBEAT_SUFFIX = "/heartbeat";
    private static final String DEREGISTER_SUFFIX = "/deregister";
    private static final int LONGEST_INSTANCE_ID = 100;

    private final String method;
    private final int maxBodyBytes;

    /** Largest bodies, bytes. */
    private static final class Limits {
        static final int REPLICA_BODY = 64 * 1024;
        static final int CONFIGURATION_BODY = 6 * 1024 * 1024;
    }

    /**
     * An operation and what the path says of it.
     *
     * @param instanceId the instance it is about, or an empty text
     */
    record Match(ApiOperation operation, String instanceId) {}

    ApiOperation(String method, int maxBodyBytes) {
        this.method = method;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** The method that it is called by. */
    String method() {
        return method;
    }

    /** The largest body it takes, bytes. */
    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** The operation that a path names, without its query. */
    static Optional<Match> find(String path) {
        switch (path) {
            case "/config/replace":
                return Optional.of(new Match(REPLACE_CONFIGURATION, ""));
            case "/config/update":
                return Optional.of(new Match(UPDATE_CONFIGURATION, ""));
            case "/config/read":
                return Optional.of(new Match(READ_CONFIGURATION, ""));
            case "/status":
                return Optional.of(new Match(STATUS, ""));
            default:
                return findInstanceCall(path);
        }
    }

    private static Optional<Match> findInstanceCall(String path) {
        if (!path.startsWith(INSTANCES)) {
            return Optional.empty();
        }
        if (path.endsWith(HEARTBEAT_SUFFIX)) {
            return instanceMatch(HEARTBEAT, path, HEARTBEAT_SUFFIX);
        }
        if (path.endsWith(DEREGISTER_SUFFIX)) {
            return instanceMatch(DEREGISTER, path, DEREGISTER_SUFFIX);
        }
        return Optional.empty();
    }

    private static Optional<Match> instanceMatch(ApiOperation operation, String path, String suffix) {
        int end = path.length() - suffix.length();
        if (end <= INSTANCES.length()) {
            return Optional.empty();
        }
        String instanceId = path.substring(INSTANCES.length(), end);
        boolean proper = instanceId.length() <= LONGEST_INSTANCE_ID && instanceId.indexOf('/') < 0;
        return proper ? Optional.of(new Match(operation, instanceId)) : Optional.empty();
    }
}
