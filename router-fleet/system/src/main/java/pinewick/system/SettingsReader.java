package pinewick.system;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tomlj.Toml;
import pinewick.model.Ipv4Address;
import pinewick.model.NodeSettings;
import pinewick.model.NodeSettings.Bounds;
import pinewick.model.NodeSettings.MachineLimits;
import pinewick.model.SocketAddress;

/**
 * Reads and validates the settings file of a process. Unknown fields are ignored; values of rules that are not in force
 * may be absent and have defaults.
 */
public final class SettingsReader {
    /** The environment variable that names the settings file. */
    public static final String PATH_VARIABLE = "PINEWICK_CONFIG";
    /** The path of the settings file unless the variable is set. */
    public static final Path DEFAULT_PATH = Path.of("/etc/pinewick/node.toml");

    private static final int MAX_PORT = 65_535;
    private static final int MIN_INTERNAL_PORTS = 2;
    private static final int DEFAULT_HEARTBEAT_MS = 1_000;
    private static final MachineLimits DEFAULT_LIMITS = new MachineLimits(1, 1, 256, 1_024, 1_000, 0);
    private static final Bounds DEFAULT_BOUNDS = new Bounds(
            3, 2, 3_000, 4_000, 4, 2_000, 8, 200, 2_000, 250, 0.1, 10, 0, 12, 120, 5, false, 3_000, 300, 5_000, false,
            5_000, 8, 0.1, 0);

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
        return parse(readText(file), file.toString());
    }

    /**
     * Reads the text of a settings file.
     *
     * @throws InvalidSettingsException if it cannot be read
     */
    static String readText(Path file) throws InvalidSettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            String reason = "can't be read: " + e + "; name a readable file in " + PATH_VARIABLE;
            throw new InvalidSettingsException(List.of(new SettingsFault(file.toString(), reason)));
        }
    }

    /**
     * Validates the text of a settings file.
     *
     * @param text the text
     * @param source its origin, for the faults
     * @throws InvalidSettingsException with every fault
     */
    public static NodeSettings parse(String text, String source) throws InvalidSettingsException {
        List<SettingsFault> faults = new ArrayList<>();
        NodeSettings settings = settings(TomlFields.ofRoot(parseToml(text, source), faults));
        if (faults.isEmpty()) {
            return settings;
        }
        throw new InvalidSettingsException(faults);
    }

    /**
     * Parses with the parser that loads fast, since every start of a process pays for it; it ends at the first error.
     * Only a text that it rejects is read by the parser that reports every error with its position.
     */
    private static UnmodifiableConfig parseToml(String text, String source) throws InvalidSettingsException {
        try {
            return new TomlParser().parse(text);
        } catch (ParsingException e) {
            List<SettingsFault> faults = syntaxErrors(text, source);
            if (faults.isEmpty()) {
                faults.add(new SettingsFault(source, "is not TOML: " + e.getMessage()));
            }
            throw new InvalidSettingsException(faults);
        }
    }

    private static List<SettingsFault> syntaxErrors(String text, String source) {
        List<SettingsFault> faults = new ArrayList<>();
        Toml.parse(text)
                .errors()
                .forEach(error -> faults.add(
                        new SettingsFault(source + " at " + error.position(), "is not TOML: " + error.getMessage())));
        return faults;
    }

    private static NodeSettings settings(TomlFields root) {
        List<String> serves = root.texts("serves");
        PortRange ports = internalPorts(root);
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
                ports.first,
                ports.last,
                seedNodes(root),
                root.flag("first_start", false),
                root.flag("counts_for_quorum", false),
                dataDirectory(root),
                root.intNumber("heartbeat_ms", DEFAULT_HEARTBEAT_MS),
                zones,
                listenAddress(listen, "frontend", serves.contains("frontend")),
                listenAddress(listen, "readiness", serves.contains("frontend")),
                listenAddress(listen, "control_plane", serves.contains("control_plane")),
                limits(root.table("limits")),
                root.table("fault_tolerance").intNumber("machines", 0),
                bounds(root.table("bounds")));
    }

    /** The ports of a range, both ends included. */
    private record PortRange(int first, int last) {}

    private static PortRange internalPorts(TomlFields root) {
        String key = "internal_port_range";
        List<Object> range = root.list(key).orElse(List.of());
        if (range.size() == 2
                && range.get(0) instanceof Integer first
                && range.get(1) instanceof Integer last
                && first > 0
                && last <= MAX_PORT
                && last - first + 1 >= MIN_INTERNAL_PORTS) {
            return new PortRange(first, last);
        }
        root.fault(
                key,
                "is " + root.written(key) + "; give the first and the last of at least " + MIN_INTERNAL_PORTS
                        + " free ports, as [7720,7735]");
        return new PortRange(0, 0);
    }

    private static String ipAddress(TomlFields root) {
        String remedy = "give this machine's IPv4 address";
        String address = root.requiredText("ip_address", remedy);
        if (!address.isEmpty() && !Ipv4Address.isLiteral(address)) {
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
                limits.intNumber("cpu_cores", DEFAULT_LIMITS.cpuCores()),
                limits.intNumber("memory_mb", DEFAULT_LIMITS.memoryMb()),
                limits.intNumber("file_descriptors", DEFAULT_LIMITS.fileDescriptors()),
                limits.number("link_bandwidth_mbps", DEFAULT_LIMITS.linkBandwidthMbps()),
                limits.intNumber("disk_mb", DEFAULT_LIMITS.diskMb()));
    }

    private static Bounds bounds(TomlFields bounds) {
        Bounds defaults = DEFAULT_BOUNDS;
        return new Bounds(
                bounds.number("seed_lag_s", defaults.seedLagSeconds()),
                bounds.number("address_reuse_s", defaults.addressReuseSeconds()),
                bounds.intNumber("contact_ms", defaults.contactMs()),
                bounds.intNumber("ack_ms", defaults.ackMs()),
                bounds.number("catch_up_s", defaults.catchUpSeconds()),
                bounds.intNumber("drain_ms", defaults.drainMs()),
                bounds.number("grace_period_s", defaults.gracePeriodSeconds()),
                bounds.intNumber("loss_slack_ms", defaults.lossSlackMs()),
                bounds.intNumber("config_apply_ms", defaults.configApplyMs()),
                bounds.intNumber("rollback_slack_ms", defaults.rollbackSlackMs()),
                bounds.number("retry_budget_ratio", defaults.retryBudgetRatio()),
                bounds.number("budget_window_s", defaults.budgetWindowSeconds()),
                bounds.number("retry_budget_slack", defaults.retryBudgetSlack()),
                bounds.number("recovery_s", defaults.recoverySeconds()),
                bounds.intNumber("transit_ms", defaults.transitMs()),
                bounds.number("again_s", defaults.againSeconds()),
                bounds.flag("fencing_enabled", defaults.fencingEnabled()),
                bounds.intNumber("lease_ms", defaults.leaseMs()),
                bounds.intNumber("thaw_slack_ms", defaults.thawSlackMs()),
                bounds.intNumber("max_stretch_ms", defaults.maxStretchMs()),
                bounds.flag("revocation_closed", defaults.revocationClosed()),
                bounds.intNumber("revoke_ms", defaults.revokeMs()),
                bounds.number("quota_window_s", defaults.quotaWindowSeconds()),
                bounds.number("quota_overage", defaults.quotaOverage()),
                bounds.number("quota_slack", defaults.quotaSlack()));
    }
}
