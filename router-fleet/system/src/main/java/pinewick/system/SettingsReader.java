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
 * Reads and validates the settings file of a process. Unknown fields are ignored. Values of rules that are not enabled
 * may be absent and have defaults.
 */
public final class SettingsReader {
    /** The environment variable that names the settings file. */
    public static final String PATH_VARIABLE = "PINEWICK_CONFIG";
    /** The path of the settings file if the variable is not set. */
    public static final Path DEFAULT_PATH = Path.of("/etc/pinewick/node.toml");

    private static final int MAX_PORT = 65_535;
    private static final int MIN_INTERNAL_PORTS = 2;
    private static final int DEFAULT_HEARTBEAT_MS = 1_000;
    private static final MachineLimits DEFAULT_LIMITS = new MachineLimits(1, 1, 256, 1_024, 1_000, 0);
    private static final Bounds DEFAULT_BOUNDS = new Bounds(
            3, 2, 3_000, 4_000, 4, 2_000, 8, 200, 2_000, 250, 0.1, 10, 0, 12, 120, 5, false, 3_000, 300, 5_000, false,
            5_000, 8, 0.1, 0);

    private SettingsReader() {}

    /** The path of the settings file according to the environment. */
    public static Path pathFromEnvironment() {
        String path = System.getenv(PATH_VARIABLE);
        return path == null || path.isEmpty() ? DEFAULT_PATH : Path.of(path);
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidSettingsException if the file is unreadable or invalid, with every fault
     */
    public static NodeSettings read(Path file) throws InvalidSettingsException {
        return parse(readText(file), file.toString());
    }

    /**
     * Reads the text of a settings file.
     *
     * @throws InvalidSettingsException if the file cannot be read
     */
    static String readText(Path file) throws InvalidSettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            String reason = "cannot be read: " + e + "; name a readable file in " + PATH_VARIABLE;
            throw new InvalidSettingsException(List.of(new SettingsFault(file.toString(), reason)));
        }
    }

    /**
     * Validates the text of a settings file.
     *
     * @param text the text of the file
     * @param source the origin of the text, named in faults
     * @throws InvalidSettingsException if the text is invalid, with every fault
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
     * Parses with the parser whose classes load faster, because its loading time is part of every start of a process.
     * It stops at the first error; a text that it rejects is parsed again by the parser that reports every error with
     * its position.
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
        List<String> serves = root.strings("serves");
        PortRange ports = internalPorts(root);
        TomlFields listen = root.table("listen_addresses");
        Map<String, String> zones = root.table("zones").stringsByKey();
        String zone = root.requiredString("zone", "name the zone of this machine");
        return new NodeSettings(
                root.requiredString("node_name", "name this machine"),
                root.string("role", ""),
                serves,
                ipAddress(root),
                zone,
                root.string("region", zones.getOrDefault(zone, "")),
                ports.first,
                ports.last,
                seedNodes(root),
                root.bool("first_start", false),
                root.bool("counts_for_quorum", false),
                dataDirectory(root),
                root.integer("heartbeat_ms", DEFAULT_HEARTBEAT_MS),
                zones,
                listenAddress(listen, "frontend", serves.contains("frontend")),
                listenAddress(listen, "readiness", serves.contains("frontend")),
                listenAddress(listen, "control_plane", serves.contains("control_plane")),
                limits(root.table("limits")),
                root.table("fault_tolerance").integer("machines", 0),
                bounds(root.table("bounds")));
    }

    /** A range of ports; {@code first} and {@code last} are included. */
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
                "is " + root.valueText(key) + "; give the first and the last of at least " + MIN_INTERNAL_PORTS
                        + " free ports, as [7720,7735]");
        return new PortRange(0, 0);
    }

    private static String ipAddress(TomlFields root) {
        String remedy = "give this machine's IPv4 address";
        String address = root.requiredString("ip_address", remedy);
        if (!address.isEmpty() && !Ipv4Address.isLiteral(address)) {
            root.fault("ip_address", "is '" + address + "'; " + remedy);
        }
        return address;
    }

    private static List<SocketAddress> seedNodes(TomlFields root) {
        String key = "seed_nodes";
        List<SocketAddress> seeds = root.addresses(key);
        if (!root.has(key) || root.list(key).map(List::isEmpty).orElse(false)) {
            root.fault(
                    key, "is missing or empty; give control_plane addresses of controllers, as [\"10.1.0.13:8166\"]");
        }
        return seeds;
    }

    private static Optional<Path> dataDirectory(TomlFields root) {
        String directory = root.string("data_directory", "");
        return directory.isEmpty() ? Optional.empty() : Optional.of(Path.of(directory));
    }

    private static Optional<SocketAddress> listenAddress(TomlFields listen, String key, boolean isRequired) {
        if (isRequired && !listen.has(key)) {
            listen.fault(key, "is missing; give the address to listen on, as \"10.1.0.10:8161\"");
        }
        return listen.address(key);
    }

    private static MachineLimits limits(TomlFields limits) {
        return new MachineLimits(
                limits.number("cpu_share", DEFAULT_LIMITS.cpuShare()),
                limits.integer("cpu_cores", DEFAULT_LIMITS.cpuCores()),
                limits.integer("memory_mb", DEFAULT_LIMITS.memoryMb()),
                limits.integer("file_descriptors", DEFAULT_LIMITS.fileDescriptors()),
                limits.number("link_bandwidth_mbps", DEFAULT_LIMITS.linkBandwidthMbps()),
                limits.integer("disk_mb", DEFAULT_LIMITS.diskMb()));
    }

    private static Bounds bounds(TomlFields bounds) {
        Bounds defaults = DEFAULT_BOUNDS;
        return new Bounds(
                bounds.number("seed_lag_s", defaults.seedLagSeconds()),
                bounds.number("address_reuse_s", defaults.addressReuseSeconds()),
                bounds.integer("contact_ms", defaults.contactMs()),
                bounds.integer("ack_ms", defaults.ackMs()),
                bounds.number("catch_up_s", defaults.catchUpSeconds()),
                bounds.integer("drain_ms", defaults.drainMs()),
                bounds.number("grace_period_s", defaults.gracePeriodSeconds()),
                bounds.integer("loss_slack_ms", defaults.lossSlackMs()),
                bounds.integer("config_apply_ms", defaults.configApplyMs()),
                bounds.integer("rollback_slack_ms", defaults.rollbackSlackMs()),
                bounds.number("retry_budget_ratio", defaults.retryBudgetRatio()),
                bounds.number("budget_window_s", defaults.budgetWindowSeconds()),
                bounds.number("retry_budget_slack", defaults.retryBudgetSlack()),
                bounds.number("recovery_s", defaults.recoverySeconds()),
                bounds.integer("transit_ms", defaults.transitMs()),
                bounds.number("again_s", defaults.againSeconds()),
                bounds.bool("fencing_enabled", defaults.fencingEnabled()),
                bounds.integer("lease_ms", defaults.leaseMs()),
                bounds.integer("thaw_slack_ms", defaults.thawSlackMs()),
                bounds.integer("max_stretch_ms", defaults.maxStretchMs()),
                bounds.bool("revocation_closed", defaults.revocationClosed()),
                bounds.integer("revoke_ms", defaults.revokeMs()),
                bounds.number("quota_window_s", defaults.quotaWindowSeconds()),
                bounds.number("quota_overage", defaults.quotaOverage()),
                bounds.number("quota_slack", defaults.quotaSlack()));
    }
}
