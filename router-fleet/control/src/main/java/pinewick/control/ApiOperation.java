package pinewick.control;

import java.util.Optional;

/** The operations of the HTTP API. */
enum ApiOperation {
    HEARTBEAT("POST", Limits.REPLICA_BODY_BYTES),
    DEREGISTER("POST", Limits.REPLICA_BODY_BYTES),
    REPLACE_CONFIGURATION("POST", Limits.CONFIGURATION_BODY_BYTES),
    UPDATE_CONFIGURATION("POST", Limits.CONFIGURATION_BODY_BYTES),
    READ_CONFIGURATION("GET", 0),
    STATUS("GET", 0);

    private static final String INSTANCES_PREFIX = "/instances/";
    private static final String HEARTBEAT_SUFFIX = "/heartbeat";
    private static final String DEREGISTER_SUFFIX = "/deregister";
    private static final int MAX_INSTANCE_ID_LENGTH = 100;

    private final String method;
    private final int maxBodyBytes;

    /** The largest accepted bodies, bytes. */
    private static final class Limits {
        static final int REPLICA_BODY_BYTES = 64 * 1024;
        static final int CONFIGURATION_BODY_BYTES = 6 * 1024 * 1024;
    }

    /**
     * An operation and the parameters in its path.
     *
     * @param instanceId the instance id in the path, empty if there is none
     */
    record Match(ApiOperation operation, String instanceId) {}

    ApiOperation(String method, int maxBodyBytes) {
        this.method = method;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** The HTTP method. */
    String method() {
        return method;
    }

    /** Size of the largest accepted body, bytes. */
    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Finds the operation for a path; empty if there is none.
     *
     * @param path the path without the query
     */
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
                return findInstanceOperation(path);
        }
    }

    private static Optional<Match> findInstanceOperation(String path) {
        if (!path.startsWith(INSTANCES_PREFIX)) {
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
        if (end <= INSTANCES_PREFIX.length()) {
            return Optional.empty();
        }
        String instanceId = path.substring(INSTANCES_PREFIX.length(), end);
        boolean isValid = instanceId.length() <= MAX_INSTANCE_ID_LENGTH && instanceId.indexOf('/') < 0;
        return isValid ? Optional.of(new Match(operation, instanceId)) : Optional.empty();
    }
}
