package pinewick.core;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the configuration of a deployment, and load reports, for every front end. Unknown keys are ignored; an absent
 * key means no limit.
 */
public final class DeploymentParser {
    private DeploymentParser() {}

    public static SchedulerHost.Deployment parse(String text) {
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonSyntaxException | IllegalStateException wrong) {
            throw new IllegalArgumentException("config is not an object: " + wrong.getMessage());
        }
    }

    public static SchedulerHost.Deployment parse(JsonObject all) {
        JsonObject bounds = object(all, "bounds");
        JsonObject family = object(all, "family-info");
        JsonObject rules = object(all, "rules");
        List<SchedulerHost.ServiceClassConfig> serviceClasses = new ArrayList<>();
        for (JsonElement each : array(all, "categories")) {
            JsonObject serviceClass = each.getAsJsonObject();
            int row = serviceClasses.size();
            SchedulerHost.RetrySafety retrySafety =
                    switch (text(serviceClass, "effect", "fragile")) {
                        case "retryable" -> SchedulerHost.RetrySafety.IDEMPOTENT;
                        case "dedup" -> SchedulerHost.RetrySafety.DEDUPLICATED;
                        default -> SchedulerHost.RetrySafety.UNSAFE;
                    };
            double hardDeadlineSeconds = seconds(serviceClass, "hard-limit-ns", Double.POSITIVE_INFINITY);
            serviceClasses.add(new SchedulerHost.ServiceClassConfig(
                    text(serviceClass, "name", ""),
                    seconds(serviceClass, "slo-ns", hardDeadlineSeconds),
                    number(serviceClass, "aim-stretch", 0),
                    hardDeadlineSeconds,
                    number(serviceClass, "worth", 1),
                    number(serviceClass, "late-worth", 0),
                    retrySafety,
                    seconds(serviceClass, "dedup-window-ns", 0),
                    item(family, "class-floor", row, 1),
                    item(family, "complete-from", row, 1),
                    item(family, "incomplete-worth", row, 0),
                    (int) item(family, "class-fetch", row, 0)));
        }
        boolean hasRetryBudget = number(rules, "repeat-ratio", 0) > 0 || rules.has("free-resends");
        SchedulerHost.SchedulingRules schedulingRules = new SchedulerHost.SchedulingRules(
                seconds(rules, "drain-grace-ns", 0),
                number(rules, "cold-from", 1),
                seconds(rules, "cold-ns", 0),
                number(rules, "overload-factor", 1),
                seconds(rules, "fall-ns", 0),
                hasRetryBudget ? number(rules, "free-resends", 0) : Double.POSITIVE_INFINITY,
                number(rules, "repeat-ratio", 0),
                seconds(rules, "extra-window-ns", 0),
                seconds(rules, "ask-within-ns", Double.POSITIVE_INFINITY));
        return new SchedulerHost.Deployment(
                (int) number(all, "instances", 1),
                text(all, "locality", ""),
                seconds(all, "granularity-ns", 0),
                serviceClasses,
                schedulingRules,
                text(all, "registry-mode", "automatic").equals("subscribe"),
                flag(bounds, "probing"),
                flag(bounds, "may-cancel"),
                flag(bounds, "parallel-tries"),
                flag(bounds, "retry-after"),
                flag(object(all, "clients"), "marks-retry"),
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

    private static boolean isPresent(JsonObject from, String key) {
        return from.has(key) && !from.get(key).isJsonNull();
    }

    private static String text(JsonObject from, String key, String absent) {
        return isPresent(from, key) ? from.get(key).getAsString() : absent;
    }

    private static double number(JsonObject from, String key, double absent) {
        return isPresent(from, key) ? from.get(key).getAsDouble() : absent;
    }

    private static double seconds(JsonObject from, String key, double absent) {
        return isPresent(from, key) ? from.get(key).getAsDouble() / 1e9 : absent;
    }

    private static boolean flag(JsonObject from, String key) {
        return isPresent(from, key) && from.get(key).getAsBoolean();
    }

    private static double item(JsonObject from, String key, int row, double absent) {
        JsonArray list = array(from, key);
        return row < list.size() ? list.get(row).getAsDouble() : absent;
    }

    /**
     * Parses a load report of comma-separated pairs; null if there is none or a value is not a finite amount. The
     * key names of both front ends are accepted. Throws IllegalArgumentException for a pair without the separator.
     */
    public static SchedulerHost.LoadReport parseLoadReport(String text, char separator) {
        if (text.isEmpty() || text.equals("-")) {
            return null;
        }
        double pending = Double.NaN;
        double inFlight = Double.NaN;
        double utilization = Double.NaN;
        double servedPerSecond = Double.NaN;
        for (String pair : text.split(",")) {
            int middle = pair.indexOf(separator);
            if (middle < 0) {
                throw new IllegalArgumentException("report " + text);
            }
            double value = Double.parseDouble(pair.substring(middle + 1));
            if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
                return null; // not an amount: the report is discarded
            }
            switch (pair.substring(0, middle)) {
                case "pending", "queue" -> pending = value;
                case "busy_reqs", "inflight" -> inFlight = value;
                case "cpu_share", "util" -> utilization = value;
                case "served_ps", "qps" -> servedPerSecond = value;
                default -> {
                    // The scheduler does not use other values.
                }
            }
        }
        return new SchedulerHost.LoadReport(pending, inFlight, utilization, servedPerSecond);
    }
}
