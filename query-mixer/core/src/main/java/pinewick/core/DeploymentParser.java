package pinewick.core;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the settings that open a router, and load reports, for every front end; unknown keys are skipped, absent
 * ones mean "not limited".
 */
public final class DeploymentParser {
    private DeploymentParser() {}

    public static SchedulerHost.Deployment read(String text) {
        try {
            return read(JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonSyntaxException | IllegalStateException wrong) {
            throw new IllegalArgumentException("config is not an object: " + wrong.getMessage());
        }
    }

    public static SchedulerHost.Deployment read(JsonObject all) {
        JsonObject bounds = object(all, "bounds");
        JsonObject family = object(all, "family-info");
        JsonObject rules = object(all, "rules");
        List<SchedulerHost.ServiceClassConfig> grades = new ArrayList<>();
        for (JsonElement each : array(all, "categories")) {
            JsonObject grade = each.getAsJsonObject();
            int row = grades.size();
            SchedulerHost.RetrySafety repeat =
                    switch (text(grade, "effect", "fragile")) {
                        case "retryable" -> SchedulerHost.RetrySafety.IDEMPOTENT;
                        case "dedup" -> SchedulerHost.RetrySafety.DEDUPLICATED;
                        default -> SchedulerHost.RetrySafety.UNREPEATABLE;
                    };
            double hardStop = seconds(grade, "hard-limit-ns", Double.POSITIVE_INFINITY);
            grades.add(new SchedulerHost.ServiceClassConfig(
                    text(grade, "name", ""),
                    seconds(grade, "slo-ns", hardStop),
                    number(grade, "aim-stretch", 0),
                    hardStop,
                    number(grade, "worth", 1),
                    number(grade, "late-worth", 0),
                    repeat,
                    seconds(grade, "dedup-window-ns", 0),
                    item(family, "class-floor", row, 1),
                    item(family, "complete-from", row, 1),
                    item(family, "incomplete-worth", row, 0),
                    (int) item(family, "class-fetch", row, 0)));
        }
        boolean rationed = number(rules, "repeat-ratio", 0) > 0 || rules.has("free-resends");
        SchedulerHost.SchedulingRules terms = new SchedulerHost.SchedulingRules(
                seconds(rules, "drain-grace-ns", 0),
                number(rules, "cold-from", 1),
                seconds(rules, "cold-ns", 0),
                number(rules, "overload-factor", 1),
                seconds(rules, "fall-ns", 0),
                rationed ? number(rules, "free-resends", 0) : Double.POSITIVE_INFINITY,
                number(rules, "repeat-ratio", 0),
                seconds(rules, "extra-window-ns", 0),
                seconds(rules, "ask-within-ns", Double.POSITIVE_INFINITY));
        return new SchedulerHost.Deployment(
                (int) number(all, "instances", 1),
                text(all, "locality", ""),
                seconds(all, "granularity-ns", 0),
                grades,
                terms,
                text(all, "registry-mode", "automatic").equals("subscribe"),
                yes(bounds, "probing"),
                yes(bounds, "may-cancel"),
                yes(bounds, "parallel-tries"),
                yes(bounds, "retry-after"),
                yes(object(all, "clients"), "marks-retry"),
                seconds(bounds, "max-retry-after-ns", 0),
                (int) number(bounds, "try-limit", 1),
                (int) number(family, "cells", 1),
                (int) number(family, "reach", 1),
                (int) number(family, "per-call", 1),
                seconds(family, "overhead-ns", 0));
    }

    private static JsonObject object(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonObject() ? from.getAsJsonObject(key) : new JsonObject();
    }

    private static JsonArray array(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonArray() ? from.getAsJsonArray(key) : new JsonArray();
    }

    private static boolean given(JsonObject from, String key) {
        return from.has(key) && !from.get(key).isJsonNull();
    }

    private static String text(JsonObject from, String key, String absent) {
        return given(from, key) ? from.get(key).getAsString() : absent;
    }

    private static double number(JsonObject from, String key, double absent) {
        return given(from, key) ? from.get(key).getAsDouble() : absent;
    }

    private static double seconds(JsonObject from, String key, double absent) {
        return given(from, key) ? from.get(key).getAsDouble() / 1e9 : absent;
    }

    private static boolean yes(JsonObject from, String key) {
        return given(from, key) && from.get(key).getAsBoolean();
    }

    private static double item(JsonObject from, String key, int row, double absent) {
        JsonArray list = array(from, key);
        return row < list.size() ? list.get(row).getAsDouble() : absent;
    }

    /** A report of pairs set apart by commas; null where there is none. Both fronts' names are known. */
    public static SchedulerHost.LoadReport report(String text, char between) {
        if (text.isEmpty() || text.equals("-")) {
            return null;
        }
        double pending = Double.NaN;
        double inFlight = Double.NaN;
        double busyShare = Double.NaN;
        double servedRate = Double.NaN;
        for (String pair : text.split(",")) {
            int middle = pair.indexOf(between);
            if (middle < 0) {
                throw new IllegalArgumentException("report " + text);
            }
            double value = Double.parseDouble(pair.substring(middle + 1));
            if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
                return null; // no amount, so no report
            }
            switch (pair.substring(0, middle)) {
                case "pending", "queue" -> pending = value;
                case "busy_reqs", "inflight" -> inFlight = value;
                case "cpu_share", "util" -> busyShare = value;
                case "served_ps", "qps" -> servedRate = value;
                default -> {
                    // A value that no decision reads.
                }
            }
        }
        return new SchedulerHost.LoadReport(pending, inFlight, busyShare, servedRate);
    }
}
