package pinewick.lab.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import pinewick.lab.scale.HollowReplica;
import pinewick.lab.scale.HttpPeer;
import pinewick.lab.scale.ReplicaProfile;
import pinewick.lab.scale.ReplicaSwarm;
import pinewick.model.SocketAddress;

/** The demo's replicas: what answers requests, and the heartbeats that tell the controllers of it. */
final class DemoReplicas implements AutoCloseable {
    /** The decode replica that leaves in the course of the demo. */
    static final int LEAVING = 4;

    private static final List<String> STAGES = List.of("prefill", "prefill", "decode", "decode", "decode");
    private static final List<String> ZONES = List.of("zone-a1", "zone-b1", "zone-c1");
    private static final double START_OVER_MS = 100;
    private static final int OK = 200;

    private final HttpPeer http;
    private final List<SocketAddress> controlPlanes;
    private final KvHandles handles = new KvHandles();
    private final List<StandInReplica> replicas = new ArrayList<>();
    private final ReplicaSwarm heartbeats;

    DemoReplicas(HttpPeer http, List<SocketAddress> controlPlanes) throws IOException {
        this.http = http;
        this.controlPlanes = controlPlanes;
        List<ReplicaProfile> profiles = new ArrayList<>();
        for (int number = 0; number < STAGES.size(); number++) {
            StandInReplica replica =
                    new StandInReplica(HollowReplica.firstInstanceId(number), STAGES.get(number), handles);
            replicas.add(replica);
            profiles.add(profile(number, replica.address()));
        }
        heartbeats = new ReplicaSwarm(profiles, controlPlanes, START_OVER_MS);
    }

    private static ReplicaProfile profile(int number, SocketAddress address) {
        return new ReplicaProfile(
                DemoConfiguration.SERVICE,
                address,
                ZONES.get(number % ZONES.size()),
                DemoConfiguration.SLOTS,
                STAGES.get(number),
                DemoConfiguration.MODEL);
    }

    /** How many replicas of a stage there are at the start. */
    static long count(String stage) {
        return STAGES.stream().filter(stage::equals).count();
    }

    /** Whether a controller has taken a heartbeat of each. */
    boolean allKnown() {
        return heartbeats.allAcknowledged();
    }

    StandInReplica replica(int number) {
        return replicas.get(number);
    }

    /** Announces the end of a replica with its next heartbeat. */
    void drain(int number) {
        heartbeats.execute(number, replica -> replica.drain(HollowReplica.nowMs()));
    }

    /** When that was acknowledged, by {@link System#nanoTime}; 0 until then. */
    long drainAcknowledgedNs(int number) {
        return heartbeats.replica(number).drainAcknowledgedNs();
    }

    /** Says good-bye to a controller and ends the replica; returns whether that was acknowledged. */
    boolean deregister(int number) throws InterruptedException {
        heartbeats.execute(number, HollowReplica::stop);
        String path = "/instances/" + heartbeats.replica(number).instanceId() + "/deregister";
        for (SocketAddress controlPlane : controlPlanes) {
            if (http.post(controlPlane, path, "{}") == OK) {
                replicas.get(number).close();
                return true;
            }
        }
        return false;
    }

    /** How many prompts prefill replicas have read for a decode replica. */
    long handlesIssued() {
        return handles.issued();
    }

    /** How many requests came to a decode replica with the handle of another one. */
    int mixedUp() {
        return replicas.stream().mapToInt(StandInReplica::mixedUp).sum();
    }

    @Override
    public void close() throws IOException {
        heartbeats.close();
        replicas.forEach(StandInReplica::close);
    }
}
