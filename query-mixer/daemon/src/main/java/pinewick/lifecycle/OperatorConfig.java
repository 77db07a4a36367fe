package pinewick.lifecycle;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import pinewick.fleet.MembershipSettings;
import pinewick.loop.Log;
import pinewick.protocol.ReplicaListJson;

/**
 * The operator's own file: settings that the platform's configuration lacks. JSON, described by
 * {@code deploy/operator.schema.json}; a test checks that this parser and that schema accept the same files. Without
 * the file no registry is followed, nothing is replicated and the log has its plain form.
 */
final class OperatorConfig {
    /**
     * How the replica list in a registry is followed; times in seconds. The check command prints this record, so its
     * components keep their names.
     */
    record Registry(
            List<InetSocketAddress> endpoints,
            String prefix,
            Path kept,
            int pageKeys,
            int lineBytes,
            double answer,
            double probeEvery,
            double believe,
            double firstContact,
            String mixersPrefix,
            double lease,
            double lowerAfter) {}

    /** The replication of observations; the snapshot's path is null if none is kept. */
    record Replication(Path snapshot, double snapshotIntervalSeconds) {}

    /** The log's format and lowest level. */
    record LogSettings(boolean json, Log.Level level) {}

    private final List<String> problems = new ArrayList<>();
    /** Null if the replica list comes from the platform. */
    private Registry registry;
    /** Null if the log has its plain form. */
    private LogSettings log;
    /** Null if the membership view is off. */
    private MembershipSettings membership = MembershipSettings.defaults();

    private Replication replication;

    private OperatorConfig() {}

    LogSettings log() {
        return log;
    }

    /** Null if replication is off. */
    Replication replication() {
        return replication;
    }

    MembershipSettings membership() {
        return membership;
    }

    Registry registry() {
        return registry;
    }

    /** Reads a file; IllegalArgumentException has a line for each invalid field: its path and what is expected. */
    static OperatorConfig read(Path file) {
        JsonElement root;
        try {
            root = JsonParser.parseString(Files.readString(file));
        } catch (IOException | RuntimeException e) {
            throw new IllegalArgumentException("operator's file " + file + " can't be read as JSON: " + e.getMessage());
        }
        return of(root);
    }

    static OperatorConfig of(JsonElement root) {
        OperatorConfig config = new OperatorConfig();
        config.parse(root);
        if (!config.problems.isEmpty()) {
            throw new IllegalArgumentException(
                    "operator's file: " + String.join("\noperator's file: ", config.problems));
        }
        return config;
    }

    private void parse(JsonElement root) {
        if (!root.isJsonObject()) {
            problems.add("/: an object is expected");
            return;
        }
        rejectUnknownFields(root.getAsJsonObject(), "", Set.of("registry", "log", "fleet"));
        log(root.getAsJsonObject().get("log"));
        registry(root.getAsJsonObject().get("registry"));
        membership(root.getAsJsonObject().get("fleet"));
    }

    /** Parses the membership section; the view is on by default, if the platform lets routers talk. */
    private void membership(JsonElement section) {
        if (section == null) {
            return;
        }
        if (!section.isJsonObject()) {
            problems.add("/fleet: an object is expected");
            return;
        }
        JsonObject object = section.getAsJsonObject();
        rejectUnknownFields(
                object,
                "/fleet",
                Set.of(
                        "view",
                        "period-s",
                        "silence-s",
                        "lower-after-s",
                        "least-share",
                        "state",
                        "snapshot",
                        "snapshot-every-s"));
        boolean isEnabled =
                choice(object, "/fleet", "view", "on", List.of("on", "off")).equals("on");
        MembershipSettings defaults = MembershipSettings.defaults();
        double intervalSeconds = number(object, "/fleet", "period-s", defaults.probeIntervalSeconds(), 0.1, 10, false);
        double silenceSeconds = number(object, "/fleet", "silence-s", defaults.minSilenceSeconds(), 0.6, 60, false);
        if (silenceSeconds < 4 * intervalSeconds) {
            problems.add("/fleet/silence-s: at least four times period-s is expected, or a lost datagram would "
                    + "look like death");
        }
        boolean isReplicated =
                choice(object, "/fleet", "state", "off", List.of("on", "off")).equals("on");
        String snapshot = text(object, "/fleet", "snapshot", false);
        double snapshotIntervalSeconds = number(object, "/fleet", "snapshot-every-s", 10, 1, 3600, false);
        if (isReplicated && !isEnabled) {
            problems.add("/fleet/state: needs /fleet/view to be on");
        }
        replication = isReplicated
                ? new Replication(snapshot == null ? null : Path.of(snapshot), snapshotIntervalSeconds)
                : null;
        double scale = intervalSeconds / defaults.probeIntervalSeconds();
        membership = !isEnabled || !problems.isEmpty()
                ? null
                : new MembershipSettings(
                        intervalSeconds,
                        defaults.pingRetrySeconds() * scale,
                        defaults.probeTimeoutSeconds() * scale,
                        silenceSeconds,
                        2 * silenceSeconds,
                        defaults.confirmations(),
                        defaults.indirectProbers(),
                        defaults.gossipIntervalSeconds() * scale,
                        defaults.retransmitMultiplier(),
                        number(object, "/fleet", "lower-after-s", defaults.deadCountedSeconds(), 1, 3600, false),
                        number(object, "/fleet", "least-share", defaults.minCountedShare(), 0, 1, false));
    }

    private void log(JsonElement section) {
        if (section == null) {
            return;
        }
        if (!section.isJsonObject()) {
            problems.add("/log: an object is expected");
            return;
        }
        JsonObject object = section.getAsJsonObject();
        rejectUnknownFields(object, "/log", Set.of("form", "level"));
        String format = choice(object, "/log", "form", "line", List.of("line", "json"));
        String level = choice(object, "/log", "level", "info", List.of("debug", "info", "warning", "error"));
        log = new LogSettings(format.equals("json"), Log.Level.valueOf(level.toUpperCase(Locale.ROOT)));
    }

    private String choice(JsonObject object, String path, String name, String defaultValue, List<String> choices) {
        JsonElement value = object.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isJsonPrimitive()
                || !value.getAsJsonPrimitive().isString()
                || !choices.contains(value.getAsString())) {
            problems.add(path + "/" + name + ": one of " + String.join(", ", choices) + " is expected");
            return defaultValue;
        }
        return value.getAsString();
    }

    private void registry(JsonElement section) {
        if (section == null) {
            return;
        }
        if (!section.isJsonObject()) {
            problems.add("/registry: an object is expected");
            return;
        }
        JsonObject object = section.getAsJsonObject();
        rejectUnknownFields(
                object,
                "/registry",
                Set.of(
                        "endpoints",
                        "prefix",
                        "kept",
                        "page-keys",
                        "line-bytes",
                        "answer-s",
                        "probe-every-s",
                        "believe-s",
                        "first-contact-s",
                        "mixers-prefix",
                        "lease-s",
                        "lower-after-s"));
        List<InetSocketAddress> endpoints = endpoints(object.get("endpoints"));
        String prefix = text(object, "/registry", "prefix", true);
        String routersPrefix = text(object, "/registry", "mixers-prefix", false);
        if (routersPrefix != null && (routersPrefix.startsWith(prefix) || prefix.startsWith(routersPrefix))) {
            problems.add(
                    "/registry/mixers-prefix: must not overlap /registry/prefix, or mixers would count as searchers");
        }
        String cachePath = text(object, "/registry", "kept", false);
        registry = new Registry(
                endpoints,
                prefix,
                cachePath == null ? null : Path.of(cachePath),
                (int) number(object, "/registry", "page-keys", 500, 1, 10_000, true),
                (int) number(object, "/registry", "line-bytes", 4 << 20, 64 << 10, 64 << 20, true),
                number(object, "/registry", "answer-s", 1, 0.05, 30, false),
                number(object, "/registry", "probe-every-s", 0.15, 0.05, 10, false),
                number(object, "/registry", "believe-s", 10, 1, 3600, false),
                number(object, "/registry", "first-contact-s", 1, 0, 30, false),
                routersPrefix,
                number(object, "/registry", "lease-s", 10, 2, 600, true),
                number(object, "/registry", "lower-after-s", 30, 1, 3600, false));
    }

    private List<InetSocketAddress> endpoints(JsonElement value) {
        List<InetSocketAddress> endpoints = new ArrayList<>();
        if (value == null || !value.isJsonArray() || value.getAsJsonArray().isEmpty()) {
            problems.add("/registry/endpoints: a list of at least one address and port is expected");
            return endpoints;
        }
        JsonArray list = value.getAsJsonArray();
        for (int index = 0; index < list.size(); index++) {
            JsonElement item = list.get(index);
            try {
                if (!item.isJsonPrimitive() || !item.getAsJsonPrimitive().isString()) {
                    throw new IllegalArgumentException("no text");
                }
                endpoints.add(ReplicaListJson.address(item.getAsString()));
            } catch (IllegalArgumentException e) {
                problems.add(
                        "/registry/endpoints/" + index + ": an address and port such as 127.0.0.1:2379 is expected");
            }
        }
        return endpoints;
    }

    private void rejectUnknownFields(JsonObject object, String path, Set<String> names) {
        for (String name : object.keySet()) {
            if (!names.contains(name)) {
                problems.add(path + "/" + name + ": unknown field");
            }
        }
    }

    private String text(JsonObject object, String path, String name, boolean required) {
        JsonElement value = object.get(name);
        if (value == null && !required) {
            return null;
        }
        if (value == null
                || !value.isJsonPrimitive()
                || !value.getAsJsonPrimitive().isString()
                || value.getAsString().isEmpty()) {
            problems.add(path + "/" + name + ": a text that is not empty is expected");
            return "?";
        }
        return value.getAsString();
    }

    private double number(
            JsonObject object, String path, String name, double defaultValue, double min, double max, boolean whole) {
        JsonElement value = object.get(name);
        if (value == null) {
            return defaultValue;
        }
        boolean isNumber = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
        double number = isNumber ? value.getAsDouble() : Double.NaN;
        if (!(number >= min && number <= max) || (whole && number != Math.rint(number))) {
            problems.add(path + "/" + name + ": a " + (whole ? "whole " : "") + "number from " + plain(min) + " to "
                    + plain(max) + " is expected");
            return defaultValue;
        }
        return number;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
