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
import pinewick.wire.ListText;

/**
 * The operator's own file: what the platform's configuration does not tell. JSON, described by
 * {@code deploy/operator.schema.json}; a test holds this reader and that schema to the same verdicts. Without the file
 * all of it is off.
 */
final class OperatorConfig {
    /** Where and how the list of searchers is followed; times in seconds. */
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

    /** What mixers replicate, and where a snapshot of it is kept, null for nowhere; every so many seconds. */
    record Replicated(Path snapshot, double every) {}

    /** How the log looks. */
    record Logs(boolean json, Log.Level level) {}

    private final List<String> wrong = new ArrayList<>();
    /** Null where the list comes from the platform. */
    private Registry registry;
    /** Null where the log is the plain one. */
    private Logs logs;
    /** Null where the mixers don't look at each other. */
    private MembershipSettings fleet = MembershipSettings.defaults();

    private Replicated replicated;

    private OperatorConfig() {}

    Logs logs() {
        return logs;
    }

    /** Null where nothing is replicated. */
    Replicated replicated() {
        return replicated;
    }

    MembershipSettings fleet() {
        return fleet;
    }

    Registry registry() {
        return registry;
    }

    /** Throws IllegalArgumentException whose message has a line for each wrong field: its path, what was expected. */
    static OperatorConfig read(Path file) {
        JsonElement all;
        try {
            all = JsonParser.parseString(Files.readString(file));
        } catch (IOException | RuntimeException odd) {
            throw new IllegalArgumentException(
                    "operator's file " + file + " can't be read as JSON: " + odd.getMessage());
        }
        return of(all);
    }

    static OperatorConfig of(JsonElement all) {
        OperatorConfig read = new OperatorConfig();
        read.all(all);
        if (!read.wrong.isEmpty()) {
            throw new IllegalArgumentException("operator's file: " + String.join("\noperator's file: ", read.wrong));
        }
        return read;
    }

    private void all(JsonElement all) {
        if (!all.isJsonObject()) {
            wrong.add("/: an object is expected");
            return;
        }
        known(all.getAsJsonObject(), "", Set.of("registry", "log", "fleet"));
        logs(all.getAsJsonObject().get("log"));
        registry(all.getAsJsonObject().get("registry"));
        fleet(all.getAsJsonObject().get("fleet"));
    }

    /** The view of the other mixers: on where the platform gives a way, unless said otherwise. */
    private void fleet(JsonElement part) {
        if (part == null) {
            return;
        }
        if (!part.isJsonObject()) {
            wrong.add("/fleet: an object is expected");
            return;
        }
        JsonObject in = part.getAsJsonObject();
        known(
                in,
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
        boolean on = choice(in, "/fleet", "view", "on", List.of("on", "off")).equals("on");
        MembershipSettings usual = MembershipSettings.defaults();
        double period = number(in, "/fleet", "period-s", usual.probeIntervalSeconds(), 0.1, 10, false);
        double silence = number(in, "/fleet", "silence-s", usual.minSilenceSeconds(), 0.6, 60, false);
        if (silence < 4 * period) {
            wrong.add("/fleet/silence-s: at least four times period-s is expected, or a lost datagram would "
                    + "look like death");
        }
        boolean state =
                choice(in, "/fleet", "state", "off", List.of("on", "off")).equals("on");
        String snapshot = text(in, "/fleet", "snapshot", false);
        double every = number(in, "/fleet", "snapshot-every-s", 10, 1, 3600, false);
        if (state && !on) {
            wrong.add("/fleet/state: needs /fleet/view to be on");
        }
        replicated = state ? new Replicated(snapshot == null ? null : Path.of(snapshot), every) : null;
        double stretch = period / usual.probeIntervalSeconds();
        fleet = !on || !wrong.isEmpty()
                ? null
                : new MembershipSettings(
                        period,
                        usual.pingRetrySeconds() * stretch,
                        usual.probeTimeoutSeconds() * stretch,
                        silence,
                        2 * silence,
                        usual.confirmations(),
                        usual.indirectProbers(),
                        usual.gossipIntervalSeconds() * stretch,
                        usual.retransmitMultiplier(),
                        number(in, "/fleet", "lower-after-s", usual.deadCountedSeconds(), 1, 3600, false),
                        number(in, "/fleet", "least-share", usual.minCountedShare(), 0, 1, false));
    }

    private void logs(JsonElement part) {
        if (part == null) {
            return;
        }
        if (!part.isJsonObject()) {
            wrong.add("/log: an object is expected");
            return;
        }
        JsonObject in = part.getAsJsonObject();
        known(in, "/log", Set.of("form", "level"));
        String form = choice(in, "/log", "form", "line", List.of("line", "json"));
        String level = choice(in, "/log", "level", "info", List.of("debug", "info", "warning", "error"));
        logs = new Logs(form.equals("json"), Log.Level.valueOf(level.toUpperCase(Locale.ROOT)));
    }

    private String choice(JsonObject in, String path, String name, String absent, List<String> choices) {
        JsonElement value = in.get(name);
        if (value == null) {
            return absent;
        }
        if (!value.isJsonPrimitive()
                || !value.getAsJsonPrimitive().isString()
                || !choices.contains(value.getAsString())) {
            wrong.add(path + "/" + name + ": one of " + String.join(", ", choices) + " is expected");
            return absent;
        }
        return value.getAsString();
    }

    private void registry(JsonElement part) {
        if (part == null) {
            return;
        }
        if (!part.isJsonObject()) {
            wrong.add("/registry: an object is expected");
            return;
        }
        JsonObject in = part.getAsJsonObject();
        known(
                in,
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
        List<InetSocketAddress> endpoints = endpoints(in.get("endpoints"));
        String prefix = text(in, "/registry", "prefix", true);
        String mixers = text(in, "/registry", "mixers-prefix", false);
        if (mixers != null && (mixers.startsWith(prefix) || prefix.startsWith(mixers))) {
            wrong.add("/registry/mixers-prefix: must not overlap /registry/prefix, or mixers would count as searchers");
        }
        String kept = text(in, "/registry", "kept", false);
        registry = new Registry(
                endpoints,
                prefix,
                kept == null ? null : Path.of(kept),
                (int) number(in, "/registry", "page-keys", 500, 1, 10_000, true),
                (int) number(in, "/registry", "line-bytes", 4 << 20, 64 << 10, 64 << 20, true),
                number(in, "/registry", "answer-s", 1, 0.05, 30, false),
                number(in, "/registry", "probe-every-s", 0.15, 0.05, 10, false),
                number(in, "/registry", "believe-s", 10, 1, 3600, false),
                number(in, "/registry", "first-contact-s", 1, 0, 30, false),
                mixers,
                number(in, "/registry", "lease-s", 10, 2, 600, true),
                number(in, "/registry", "lower-after-s", 30, 1, 3600, false));
    }

    private List<InetSocketAddress> endpoints(JsonElement given) {
        List<InetSocketAddress> endpoints = new ArrayList<>();
        if (given == null || !given.isJsonArray() || given.getAsJsonArray().isEmpty()) {
            wrong.add("/registry/endpoints: a list of at least one address and port is expected");
            return endpoints;
        }
        JsonArray list = given.getAsJsonArray();
        for (int each = 0; each < list.size(); each++) {
            JsonElement one = list.get(each);
            try {
                if (!one.isJsonPrimitive() || !one.getAsJsonPrimitive().isString()) {
                    throw new IllegalArgumentException("no text");
                }
                endpoints.add(ListText.address(one.getAsString()));
            } catch (IllegalArgumentException odd) {
                wrong.add("/registry/endpoints/" + each + ": an address and port such as 127.0.0.1:2379 is expected");
            }
        }
        return endpoints;
    }

    private void known(JsonObject in, String path, Set<String> names) {
        for (String name : in.keySet()) {
            if (!names.contains(name)) {
                wrong.add(path + "/" + name + ": unknown field");
            }
        }
    }

    private String text(JsonObject in, String path, String name, boolean needed) {
        JsonElement value = in.get(name);
        if (value == null && !needed) {
            return null;
        }
        if (value == null
                || !value.isJsonPrimitive()
                || !value.getAsJsonPrimitive().isString()
                || value.getAsString().isEmpty()) {
            wrong.add(path + "/" + name + ": a text that is not empty is expected");
            return "?";
        }
        return value.getAsString();
    }

    private double number(
            JsonObject in, String path, String name, double absent, double least, double most, boolean whole) {
        JsonElement value = in.get(name);
        if (value == null) {
            return absent;
        }
        boolean number = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
        double given = number ? value.getAsDouble() : Double.NaN;
        if (!(given >= least && given <= most) || (whole && given != Math.rint(given))) {
            wrong.add(path + "/" + name + ": a " + (whole ? "whole " : "") + "number from " + plain(least) + " to "
                    + plain(most) + " is expected");
            return absent;
        }
        return given;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
