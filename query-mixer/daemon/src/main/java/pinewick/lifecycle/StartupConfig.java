package pinewick.lifecycle;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pinewick.core.DeploymentParser;
import pinewick.core.SchedulerHost;
import pinewick.loop.Limits;
import pinewick.protocol.ReplicaListJson;

/** A router's configuration at start: the environment and the file that it names. */
record StartupConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        Limits limits,
        SchedulerHost.Deployment deployment,
        ReplicaListJson.Update knownReplicas,
        Peers peers) {

    /**
     * How routers reach each other.
     *
     * @param peers the address of every router including this one, by index
     * @param broadcast one address that reaches all routers; null if there is none
     * @param self the index of this router
     */
    record Peers(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcast, int self) {}

    /** This configuration with the reloadable fields of another: the address of discovery and the peers. */
    StartupConfig withReloadable(StartupConfig other) {
        Peers nextPeers =
                peers == null || other.peers == null || !peers.listen.equals(other.peers.listen) ? peers : other.peers;
        return new StartupConfig(name, listen, other.discovery, seed, limits, deployment, knownReplicas, nextPeers);
    }

    /** The names of fields that differ in another configuration and take effect only after a restart. */
    List<String> fieldsNeedingRestart(StartupConfig other) {
        List<String> fields = new ArrayList<>();
        if (!listen.equals(other.listen)) {
            fields.add("listen");
        }
        if (!limits.equals(other.limits)) {
            fields.add("limits");
        }
        if (!deployment.equals(other.deployment)) {
            fields.add("settings");
        }
        if (peers == null ? other.peers != null : other.peers == null || !peers.listen.equals(other.peers.listen)) {
            fields.add("peer_listen");
        }
        return fields;
    }

    /** Like {@link #read}, but the file's discovery address takes precedence: the variable's is that of the start. */
    static StartupConfig reread(Map<String, String> environment) {
        JsonObject root = readFile(environment);
        Map<String, String> remaining = new HashMap<>(environment);
        if (root.has("discovery")) {
            remaining.remove("EDGE_DISCOVERY");
        }
        return of(root, remaining);
    }

    /** A message naming the variable or field at fault comes with the exception. */
    static StartupConfig read(Map<String, String> environment) {
        return of(readFile(environment), environment);
    }

    private static JsonObject readFile(Map<String, String> environment) {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("EDGE_CONFIG is not set");
        }
        try {
            return JsonParser.parseString(Files.readString(Path.of(file))).getAsJsonObject();
        } catch (IOException | RuntimeException e) {
            throw new IllegalArgumentException("EDGE_CONFIG: " + file + " can't be read as JSON: " + e);
        }
    }

    static StartupConfig of(JsonObject root, Map<String, String> environment) {
        String listen = required(environment, "EDGE_LISTEN", root, "listen");
        String discovery = required(environment, "EDGE_DISCOVERY", root, "discovery");
        if (!root.has("settings") || !root.get("settings").isJsonObject()) {
            throw new IllegalArgumentException("EDGE_CONFIG: field settings is missing or no object");
        }
        Limits limits;
        SchedulerHost.Deployment deployment;
        try {
            limits = Limits.of(root);
            deployment = DeploymentParser.parse(root.getAsJsonObject("settings"));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("EDGE_CONFIG: field settings or limits: " + e.getMessage());
        }
        if (deployment.serviceClasses().isEmpty()) {
            throw new IllegalArgumentException("EDGE_CONFIG: field settings.categories is missing or empty");
        }
        long seed;
        try {
            seed = root.has("seed") ? Long.parseUnsignedLong(root.get("seed").getAsString(), 16) : 0;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("EDGE_CONFIG: field seed: " + e.getMessage());
        }
        ReplicaListJson.Update knownReplicas = new ReplicaListJson.Update(0, true, java.util.List.of());
        try {
            if (root.has("known") && root.get("known").isJsonObject()) {
                knownReplicas = ReplicaListJson.read(root.getAsJsonObject("known"));
            }
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("EDGE_CONFIG: field known: " + e.getMessage());
        }
        String name = environment.getOrDefault("EDGE_NAME", "mixer");
        return new StartupConfig(
                name,
                address("EDGE_LISTEN or field listen", listen),
                address("EDGE_DISCOVERY or field discovery", discovery),
                seed,
                limits,
                deployment,
                knownReplicas,
                peers(root));
    }

    /** Null without peer_listen, or if the settings do not allow routers to talk to each other. */
    private static Peers peers(JsonObject root) {
        JsonObject settings = root.getAsJsonObject("settings");
        JsonElement bounds = settings.get("bounds");
        JsonElement allowed = bounds == null || !bounds.isJsonObject()
                ? null
                : bounds.getAsJsonObject().get("peers");
        if (!root.has("peer_listen")
                || root.get("peer_listen").isJsonNull()
                || allowed == null
                || allowed.isJsonNull()
                || !allowed.getAsBoolean()) {
            return null;
        }
        if (!root.has("peers") || !root.get("peers").isJsonArray()) {
            throw new IllegalArgumentException("EDGE_CONFIG: field peers is missing or no list");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonElement each : root.getAsJsonArray("peers")) {
            peers.add(address("field peers, item " + peers.size(), each.isJsonPrimitive() ? each.getAsString() : "?"));
        }
        JsonElement selfIndex = settings.get("self-index");
        int self = selfIndex == null || !selfIndex.isJsonPrimitive() ? -1 : selfIndex.getAsInt();
        if (self < 0 || self >= peers.size()) {
            throw new IllegalArgumentException("EDGE_CONFIG: field settings.self-index is missing, or not a place in "
                    + "peers, which has " + peers.size());
        }
        boolean hasBroadcast = root.has("peers_all") && root.get("peers_all").isJsonPrimitive();
        return new Peers(
                address("field peer_listen", root.get("peer_listen").getAsString()),
                List.copyOf(peers),
                hasBroadcast ? address("field peers_all", root.get("peers_all").getAsString()) : null,
                self);
    }

    private static String required(Map<String, String> environment, String variable, JsonObject root, String field) {
        String value = environment.get(variable);
        if ((value == null || value.isEmpty()) && root.has(field)) {
            if (!root.get(field).isJsonPrimitive()) {
                throw new IllegalArgumentException("EDGE_CONFIG: field " + field + " is no text");
            }
            value = root.get(field).getAsString();
        }
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(variable + " is not set, and there is no field " + field);
        }
        return value;
    }

    private static InetSocketAddress address(String description, String text) {
        try {
            return ReplicaListJson.address(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(description + ": " + e.getMessage());
        }
    }
}
