package pinewick.storage;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import pinewick.replication.ConfigurationChange;

/** Configuration changes similar to those of operators. */
final class SampleChanges {
    private static final int FIRST_UPDATED_TIMEOUT_MS = 5_000;
    private static final int FIRST_REPLACED_TIMEOUT_MS = 1_000;
    private static final int MAX_TIMEOUT_DIFFERENCE_MS = 1_000;
    private static final int ROUTE_DISTANCE = 7;
    private static final long DISTINCT_WORDS = 1L << 40;

    private SampleChanges() {}

    /** A full document in which every route differs from the previous version. */
    static ConfigurationChange replacement(long base, int routes) {
        long version = base + 1;
        StringBuilder body = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int index = 0; index < routes; index++) {
            body.append(index == 0 ? "" : ",").append(route(index, FIRST_REPLACED_TIMEOUT_MS + version));
        }
        body.append("],\"services\":[{\"name\":\"s\",\"health_check_path\":\"/health\",\"max_connections\":210}]}");
        return new ConfigurationChange(
                ConfigurationChange.Kind.REPLACE, base, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** An update of two routes. */
    static ConfigurationChange update(long base, int routes) {
        int first = (int) (base % routes);
        int second = (first + ROUTE_DISTANCE) % routes;
        long timeoutMs = FIRST_UPDATED_TIMEOUT_MS + base;
        String body = "{\"version\":" + (base + 1) + ",\"upserts\":{\"routes\":[" + route(first, timeoutMs) + ","
                + route(second, timeoutMs) + "]}}";
        return new ConfigurationChange(ConfigurationChange.Kind.UPDATE, base, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Names and paths have as much entropy as those of operators, so that they are not more compressible. */
    private static String route(int index, long timeoutMs) {
        SplittableRandom random = new SplittableRandom(index);
        return "{\"name\":\"r-" + randomWord(random) + "\",\"hostname\":\"" + randomWord(random)
                + ".example\",\"path_prefix\":\"/"
                + randomWord(random) + "/\",\"route_kind\":\"streaming\",\"timeout_ms\":"
                + (timeoutMs + random.nextInt(MAX_TIMEOUT_DIFFERENCE_MS))
                + ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"s\",\"max_attempts\":1,"
                + "\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":150}";
    }

    private static String randomWord(SplittableRandom random) {
        return Long.toString(random.nextLong(DISTINCT_WORDS), Character.MAX_RADIX);
    }
}
