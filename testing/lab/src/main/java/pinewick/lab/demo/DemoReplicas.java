package pinewick.lab.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import pinewick.lab.scale.HollowReplica;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.ReplicaProfile;
import pinewick.lab.scale.ReplicaSwarm;
import pinewick.model.SocketAddress;

/** The demo's replicas: fake servers for requests, and their heartbeats to the controllers. */
final class DemoReplicas implements AutoCloseable {
    /** Index of the decode replica that is drained during the demo. */
    static final int DRAINED_REPLICA = 4;

    private static final List<String> STAGES = List.of("prefill", "prefill", "decode", "decode", "decode");
    private static final List<String> ZONES = List.of("zone-a1", "zone-b1", "zone-c1");
    private static final double START_SPREAD_MS = 100;
    private static final int OK = 200;

    private final HttpPeer http;
    private final List<SocketAddress> controlPlanes;
    private final KvHandles handles = new KvHandles();
    private final List<FakeReplica> replicas = new ArrayList<>();
    private final ReplicaSwarm heartbeats;

    DemoReplicas(HttpPeer http, List<SocketAddress> controlPlanes) throws IOException {
        this.http = http;
        this.controlPlanes = controlPlanes;
        List<ReplicaProfile> profiles = new ArrayList<>();
        for (int index = 0; index < STAGES.size(); index++) {
            FakeReplica replica = new FakeReplica(HollowReplica.firstInstanceId(index), STAGES.get(index), handles);
            replicas.add(replica);
            profiles.add(profile(index, replica.address()));
        }
        heartbeats = new ReplicaSwarm(profiles, controlPlanes, START_SPREAD_MS);
    }

    private static ReplicaProfile profile(int index, SocketAddress address) {
        return new ReplicaProfile(
                DemoConfiguration.SERVICE,
                address,
                ZONES.get(index % ZONES.size()),
                DemoConfiguration.SLOTS,
                STAGES.get(index),
                DemoConfiguration.MODEL);
    }

    /** Initial number of replicas of a stage. */
    static long count(String stage) {
        return STAGES.stream().filter(stage::equals).count();
    }

    /** Whether a controller has acknowledged a heartbeat of every replica. */
    boolean allAcknowledged() {
        return heartbeats.allAcknowledged();
    }

    FakeReplica replica(int index) {
        return replicas.get(index);
    }

    /** Announces the drain of a replica with its next heartbeat. */
    void drain(int index) {
        heartbeats.execute(index, replica -> replica.drain(HollowReplica.nowMs()));
    }

    /** Time of the acknowledgement of the drain, {@link System#nanoTime}; 0 until then. */
    long drainAcknowledgedNs(int index) {
        return heartbeats.replica(index).drainAcknowledgedNs();
    }

    /** Stops the heartbeats of a replica and deregisters it; if a controller acknowledges, closes it, returns true. */
    boolean deregister(int index) throws InterruptedException {
        heartbeats.execute(index, HollowReplica::stop);
        String path = "/instances/" + heartbeats.replica(index).instanceId() + "/deregister";
        for (SocketAddress controlPlane : controlPlanes) {
            if (http.post(controlPlane, path, "{}") == OK) {
                replicas.get(index).close();
                return true;
            }
        }
        return false;
    }

    /** Number of prompts prefilled for a decode replica. */
    long issuedHandles() {
        return handles.issuedCount();
    }

    /** Number of requests that reached a decode replica with the KV handle of another request. */
    int handleMismatches() {
        return replicas.stream().mapToInt(FakeReplica::handleMismatches).sum();
    }

    @Override
    public void close() throws IOException {
        heartbeats.close();
        replicas.forEach(FakeReplica::close);
    }
}
