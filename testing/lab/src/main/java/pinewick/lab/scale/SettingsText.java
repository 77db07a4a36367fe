package pinewick.lab.scale;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import pinewick.model.SocketAddress;

/** Settings files for the real processes of a fleet, with the values of the larger sites. */
public final class SettingsText {
    private SettingsText() {}

    /** The settings of a controller that bootstraps the system. */
    public static String controller(FleetAddresses addresses, int number, Path data) {
        return """
                node_name = "core-%d"
                role = "controller"
                serves = ["control_plane"]
                ip_address = "%s"
                zone = "zone-%s1"
                region = "region-%s"
                counts_for_quorum = true
                data_directory = "%s"
                """
                        .formatted(
                                number,
                                FleetAddresses.controllerHost(number),
                                zoneLetter(number),
                                zoneLetter(number),
                                data)
                + common(addresses)
                + "[listen_addresses]\ncontrol_plane = \"%s\"\n".formatted(addresses.controlPlane(number));
    }

    /** The same settings for a process that joins an existing system. */
    public static String withoutFirstStart(String settings) {
        return settings.replace("first_start = true", "first_start = false");
    }

    /** The settings of a router. */
    public static String router(FleetAddresses addresses, int number) {
        return """
                node_name = "frontend-%d"
                role = "router"
                serves = ["frontend"]
                ip_address = "%s"
                zone = "zone-%s2"
                region = "region-%s"
                counts_for_quorum = false
                """
                        .formatted(number, FleetAddresses.routerHost(number), zoneLetter(number), zoneLetter(number))
                + common(addresses)
                + "[listen_addresses]\nfrontend = \"%s\"\nreadiness = \"%s\"\n"
                        .formatted(addresses.frontend(number), addresses.readiness(number));
    }

    private static String zoneLetter(int number) {
        return List.of("a", "b", "c").get(number % 3);
    }

    private static String common(FleetAddresses addresses) {
        String seeds = addresses.controlPlanes().stream()
                .map(SocketAddress::toString)
                .map(seed -> '"' + seed + '"')
                .collect(Collectors.joining(","));
        return """
                internal_port_range = [%d,%d]
                seed_nodes = [%s]
                first_start = true
                heartbeat_ms = %d
                [zones]
                zone-a1 = "region-a"
                zone-a2 = "region-a"
                zone-b1 = "region-b"
                zone-b2 = "region-b"
                zone-c1 = "region-c"
                zone-c2 = "region-c"
                [limits]
                cpu_share = 0.75
                cpu_cores = 2
                memory_mb = 430
                file_descriptors = 4100
                disk_mb = 128
                [fault_tolerance]
                machines = 1
                [bounds]
                contact_ms = 3000
                ack_ms = 4000
                drain_ms = 2000
                config_apply_ms = 2000
                grace_period_s = 8
                """
                .formatted(
                        addresses.firstPort(), addresses.firstPort() + FleetAddresses.INTERNAL_PORTS - 1, seeds, (int)
                                HollowReplica.HEARTBEAT_MS);
    }
}
