package pinewick.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import pinewick.model.NodeSettings;
import pinewick.model.NodeSettings.Bounds;
import pinewick.model.NodeSettings.MachineLimits;
import pinewick.model.SocketAddress;

/**
 * Reads and checks the settings file of a process. Fields that are not known are ignored; figures of rules that are
 * not in force may be absent and take defaults.
 */
public final class SettingsReader {
    /** Names the settings file. */
    public static final String PATH_VARIABLE = "PINEWICK_CONFIG";
    /** Where the settings file is unless the variable says otherwise. */
    public static final Path DEFAULT_PATH = Path.of("/etc/pinewick/node.toml");

    private static final int HIGHEST_PORT = 65_535;
    private static final int INTERNAL_PORTS_NEEDED = 2;
    private static final int DEFAULT_HEARTBEAT_MS = 1_000;
    private static final MachineLimits DEFAULT_LIMITS = new MachineLimits(1, 1, 256, 1_024, 1_000, 0);
    private static final Bounds DEFAULT_BOUNDS =
            new Bounds(3, 2, 3_000, 4_000, 4, 2_000, 8, 200, 2_000, 250, 0.1, 10, 0, 12, 120, 5, false, 3_000, 300);

    private SettingsReader() {}

    /** The path that the environment gives. */
    public static Path pathFromEnvironment() {
        String path = System.getenv(PATH_VARIABLE);
        return path == null || path.isEmpty() ? DEFAULT_PATH : Path.of(path);
    }

    /**
     * Reads a settings file.
     *
     * @throws InvalidSettingsException with every fault
     */
    public static NodeSettings read(Path file) throws InvalidSettingsException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            String sentence = "can't be read: " + e + "; name a readable file in " + PATH_VARIABLE;
            throw new InvalidSettingsException(List.of(new SettingsFault(file.toString(), sentence)));
        }
    }

    /**
     * Checks the text of a settings file.
     *
     * @param text the text
     * @param source where it comes from, for the faults
     * @throws InvalidSettingsException with every fault
     */
    public static NodeSettings parse(String text, String source) throws InvalidSettingsException {
        TomlParseResult result = Toml.parse(text);
        List<SettingsFault> faults = new ArrayList<>();
        result.errors()
                .forEach(error -> faults.add(
                        new SettingsFault(source + " at " + error.position(), "is not TOML: " + error.getMessage())));
        if (faults.isEmpty()) {
            NodeSettings settings = settings(TomlFields.ofRoot(result, faults));
            if (faults.isEmpty()) {
                return settings;
            }
        }
        throw new InvalidSettingsException(faults);
    }

    private static NodeSettings settings(TomlFields root) {
        List<String> serves = root.texts("serves");
        int[] ports = internalPorts(root);
        TomlFields listen = root.table("listen_addresses");
        Map<String, String> zones = root.table("zones").textsByKey();
        String zone = root.requiredText("zone", "name the zone of this machine");
        return new NodeSettings(
                root.requiredText("node_name", "name this machine"),
                root.text("role", ""),
                serves,
                ipAddress(root),
                zone,
                root.text("region", zones.getOrDefault(zone, "")),
                ports[0],
                ports[1],
                seedNodes(root),
                root.flag("first_start", false),
                root.flag("counts_for_quorum", false),
                dataDirectory(root),
                root.wholeNumber("heartbeat_ms", DEFAULT_HEARTBEAT_MS),
                zones,
                listenAddress(listen, "frontend", serves.contains("frontend")),
                listenAddress(listen, "readiness", serves.contains("frontend")),
                listenAddress(listen, "control_plane", serves.contains("control_plane")),
                limits(root.table("limits")),
                root.table("fault_tolerance").wholeNumber("machines", 0),
                bounds(root.table("bounds")));
    }

    private static int[] internalPorts(TomlFields root) {
        String key = "internal_port_range";
        List<Object> range = root.list(key).orElse(List.of());
        if (range.size() == 2
                && range.get(0) instanceof Long first
                && range.get(1) instanceof Long last
                && first > 0
                && last <= HIGHEST_PORT
                && last - first + 1 >= INTERNAL_PORTS_NEEDED) {
            return new int[] {first.intValue(), last.intValue()};
        }
        root.fault(
                key,
                "is " + root.written(key) + "; give the first and the last of at least " + INTERNAL_PORTS_NEEDED
                        + " free ports, as [7720,7735]");
        return new int[2];
    }

    private static String ipAddress(TomlFields root) {
        String remedy = "give this machine's IPv4 address";
        String address = root.requiredText("ip_address", remedy);
        if (!address.isEmpty() && !Ipv4Text.isAddress(address)) {
            root.fault("ip_address", "is '" + address + "'; " + remedy);
        }
        return address;
    }

    private static List<SocketAddress> seedNodes(TomlFields root) {
        String key = "seed_nodes";
        List<SocketAddress> seeds = root.addresses(key);
        if (!root.has(key) || root.list(key).map(List::isEmpty).orElse(false)) {
            root.fault(key, "names nobody; give control_plane addresses of controllers, as [\"10.1.0.13:8166\"]");
        }
        return seeds;
    }

    private static Optional<Path> dataDirectory(TomlFields root) {
        String directory = root.text("data_directory", "");
        return directory.isEmpty() ? Optional.empty() : Optional.of(Path.of(directory));
    }

    private static Optional<SocketAddress> listenAddress(TomlFields listen, String key, boolean needed) {
        if (needed && !listen.has(key)) {
            listen.fault(key, "is missing; give the address to listen on, as \"10.1.0.10:8161\"");
        }
        return listen.address(key);
    }

    private static MachineLimits limits(TomlFields limits) {
        return new MachineLimits(
                limits.number("cpu_share", DEFAULT_LIMITS.cpuShare()),
                limits.wholeNumber("cpu_cores", DEFAULT_LIMITS.cpuCores()),
                limits.wholeNumber("memory_mb", DEFAULT_LIMITS.memoryMb()),
                limits.wholeNumber("file_descriptors", DEFAULT_LIMITS.fileDescriptors()),
                limits.number("link_bandwidth_mbps", DEFAULT_LIMITS.linkBandwidthMbps()),
                limits.wholeNumber("disk_mb", DEFAULT_LIMITS.diskMb()));
    }

    private static Bounds bounds(TomlFields bounds) {
        Bounds standard = DEFAULT_BOUNDS;
        return new Bounds(
                bounds.number("seed_lag_s", standard.seedLagSeconds()),
                bounds.number("address_reuse_s", standard.addressReuseSeconds()),
                bounds.wholeNumber("contact_ms", standard.contactMs()),
                bounds.wholeNumber("ack_ms", standard.ackMs()),
                bounds.number("catch_up_s", standard.catchUpSeconds()),
                bounds.wholeNumber("drain_ms", standard.drainMs()),
                bounds.number("grace_period_s", standard.gracePeriodSeconds()),
                bounds.wholeNumber("loss_slack_ms", standard.lossSlackMs()),
                bounds.wholeNumber("config_apply_ms", standard.configApplyMs()),
                bounds.wholeNumber("rollback_slack_ms", standard.rollbackSlackMs()),
                bounds.number("retry_budget_ratio", standard.retryBudgetRatio()),
                bounds.number("budget_window_s", standard.budgetWindowSeconds()),
                bounds.number("retry_budget_slack", standard.retryBudgetSlack()),
                bounds.number("recovery_s", standard.recoverySeconds()),
                bounds.wholeNumber("transit_ms", standard.transitMs()),
                bounds.number("again_s", standard.againSeconds()),
                bounds.flag("fencing_enabled", standard.fencingEnabled()),
                bounds.wholeNumber("lease_ms", standard.leaseMs()),
                bounds.wholeNumber("thaw_slack_ms", standard.thawSlackMs()));
    }
}
