package pinewick.model;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The settings file of one process, checked. Fields that are not known are ignored when it is read.
 *
 * @param nodeName name of the machine
 * @param role name of the role in the deploy file
 * @param serves who may call this process from outside: {@code frontend}, {@code control_plane}
 * @param ipAddress the machine's own address
 * @param zone where it stands
 * @param region where the zone stands
 * @param firstInternalPort first of the ports for internal messages
 * @param lastInternalPort last of these ports
 * @param seedNodes {@code control_plane} addresses of some controllers
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param countsForQuorum whether this machine's loss is counted in {@link #toleratedMachines}
 * @param dataDirectory where files are kept, empty on machines without a disk
 * @param heartbeatMs how often replicas send heartbeats
 * @param zones region of each zone
 * @param frontend where clients call, if this process serves them
 * @param readiness where the platform asks whether it is ready
 * @param controlPlane where replicas and the operator call, if this process serves them
 * @param limits what the machine grants this process
 * @param toleratedMachines machines that count and may be lost at once
 * @param bounds figures that the rules name
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

    /** What a machine grants a process. */
    public record MachineLimits(
            double cpuShare, int cpuCores, int memoryMb, int fileDescriptors, double linkBandwidthMbps, int diskMb) {}

    /** Figures that the rules name; names as in the settings file. */
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
            int thawSlackMs) {}

    /** The port on which routers take internal messages, on every machine. */
    public int routerPort() {
        return firstInternalPort;
    }

    /** The port on which controllers take internal messages, on every machine. */
    public int controllerPort() {
        return firstInternalPort + 1;
    }

    /** Internal addresses of the seeds. */
    public List<SocketAddress> seedControllers() {
        return seedNodes.stream()
                .map(seed -> new SocketAddress(seed.host(), controllerPort()))
                .toList();
    }
}
