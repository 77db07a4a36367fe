package pinewick.model;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The validated settings of one process. Unknown fields in the settings file are ignored.
 *
 * @param nodeName name of the machine
 * @param role name of the machine's role in the deploy file
 * @param serves the interfaces that this process serves: {@code frontend}, {@code control_plane}
 * @param ipAddress the machine's own address
 * @param zone the zone of the machine
 * @param region the region of the zone
 * @param firstInternalPort first port of the range for internal messages
 * @param lastInternalPort last port of this range
 * @param seedNodes {@code control_plane} addresses of some controllers
 * @param firstStart whether the complete system is started for the first time, with empty disks
 * @param countsForQuorum whether the loss of this machine counts towards {@link #toleratedMachines}
 * @param dataDirectory directory for persistent files; empty on machines without a disk
 * @param heartbeatMs interval between the heartbeats of a replica, milliseconds
 * @param zones region of each zone, by zone
 * @param frontend address for clients, if this process serves them
 * @param readiness address of the platform's readiness check
 * @param controlPlane address for replicas and operators, if this process serves them
 * @param limits resource limits of this process
 * @param toleratedMachines number of machines counted for the quorum that may fail at the same time (f)
 * @param bounds time-outs and ratios from the platform's rules
 */
public record NodeSettings(
        String nodeName,
        String role,
        List<String> serves,
        String ipAddress,
        String zone,
        String region,
        int firstInternalPort,
        int lastInternalPort,
        List<SocketAddress> seedNodes,
        boolean firstStart,
        boolean countsForQuorum,
        Optional<Path> dataDirectory,
        int heartbeatMs,
        Map<String, String> zones,
        Optional<SocketAddress> frontend,
        Optional<SocketAddress> readiness,
        Optional<SocketAddress> controlPlane,
        MachineLimits limits,
        int toleratedMachines,
        Bounds bounds) {

    public NodeSettings {
        serves = List.copyOf(serves);
        seedNodes = List.copyOf(seedNodes);
        zones = Map.copyOf(zones);
    }

    /** The resources that a machine allows a process. */
    public record MachineLimits(
            double cpuShare, int cpuCores, int memoryMb, int fileDescriptors, double linkBandwidthMbps, int diskMb) {}

    /** Time-outs and ratios from the platform's rules; the names are those of the settings file. */
    public record Bounds(
            double seedLagSeconds,
            double addressReuseSeconds,
            int contactMs,
            int ackMs,
            double catchUpSeconds,
            int drainMs,
            double gracePeriodSeconds,
            int lossSlackMs,
            int configApplyMs,
            int rollbackSlackMs,
            double retryBudgetRatio,
            double budgetWindowSeconds,
            double retryBudgetSlack,
            double recoverySeconds,
            int transitMs,
            double againSeconds,
            boolean fencingEnabled,
            int leaseMs,
            int thawSlackMs,
            int maxStretchMs,
            boolean revocationClosed,
            int revokeMs,
            double quotaWindowSeconds,
            double quotaOverage,
            double quotaSlack) {}

    /** The port on which routers receive internal messages, on every machine. */
    public int routerPort() {
        return firstInternalPort;
    }

    /** The port on which controllers receive internal messages, on every machine. */
    public int controllerPort() {
        return firstInternalPort + 1;
    }

    /** Internal addresses of the seed controllers. */
    public List<SocketAddress> seedControllers() {
        return seedNodes.stream()
                .map(seed -> new SocketAddress(seed.host(), controllerPort()))
                .toList();
    }
}
