package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

class SettingsReaderTest {
    private static NodeSettings parse(String text) throws InvalidSettingsException {
        return SettingsReader.parse(text, "node.toml");
    }

    private static List<String> faultsOf(String text) {
        InvalidSettingsException exception = assertThrows(InvalidSettingsException.class, () -> parse(text));
        return exception.faults().stream().map(SettingsFault::toString).toList();
    }

    @Test
    void readsARouter() throws InvalidSettingsException {
        NodeSettings settings = parse(SampleSettings.ROUTER);

        assertEquals("frontend-sala-mi-1", settings.nodeName());
        assertEquals(List.of("frontend"), settings.serves());
        assertEquals(7720, settings.routerPort());
        assertEquals(7735, settings.lastInternalPort());
        assertEquals(new SocketAddress("10.1.0.13", 8166), settings.seedNodes().get(0));
        assertEquals(Map.of("sala-mi", "pianura", "sala.bs", "pianura"), settings.zones());
        assertEquals(Optional.of(new SocketAddress("10.1.0.10", 8161)), settings.frontend());
        assertEquals(Optional.of(new SocketAddress("10.1.0.10", 8167)), settings.readiness());
        assertEquals(Optional.empty(), settings.controlPlane());
        assertEquals(Optional.empty(), settings.dataDirectory());
        assertTrue(settings.firstStart());
        assertFalse(settings.countsForQuorum());
        assertEquals(1200, settings.heartbeatMs());
    }

    @Test
    void readsAController() throws InvalidSettingsException {
        NodeSettings settings = parse(SampleSettings.CONTROLLER);

        assertEquals(Optional.of(Path.of("/data/core")), settings.dataDirectory());
        assertEquals(Optional.of(new SocketAddress("10.1.0.13", 8166)), settings.controlPlane());
        assertTrue(settings.countsForQuorum());
        assertEquals(1, settings.toleratedMachines());
        assertEquals(new NodeSettings.MachineLimits(0.75, 2, 430, 4100, 1000, 128), settings.limits());
        assertEquals(
                new NodeSettings.Bounds(
                        3, 2, 3000, 4001, 4, 2000, 8, 200, 2001, 250, 0.2, 10, 58, 12, 120, 4.6, true, 3001, 300, 5001,
                        true, 5002, 9, 0.2, 190_000),
                settings.bounds());
    }

    @Test
    void ignoresUnknownFields() throws InvalidSettingsException {
        String withUnknownFields = "galaxy = \"\"\nempty = []\n" + SampleSettings.ROUTER + "\n[weather]\nrain = true\n";

        assertEquals(parse(SampleSettings.ROUTER), parse(withUnknownFields));
    }

    @Test
    void usesDefaultsForValuesOfRulesThatAreNotEnabled() throws InvalidSettingsException {
        NodeSettings settings = parse(
                """
                node_name = "n"
                ip_address = "10.1.0.10"
                zone = "z"
                serves = []
                internal_port_range = [7720,7735]
                seed_nodes = ["10.1.0.13:8166"]
                """);

        assertEquals(2000, settings.bounds().configApplyMs());
        assertEquals(0, settings.toleratedMachines());
        assertFalse(settings.firstStart());
        assertEquals("", settings.region());
    }

    @Test
    void derivesTheRegionFromTheZones() throws InvalidSettingsException {
        assertEquals(
                "pianura",
                parse(SampleSettings.ROUTER.replace("region = \"pianura\"", "")).region());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "node_name = \"frontend-sala-mi-1\"||node_name is missing; name this machine",
                "node_name = \"frontend-sala-mi-1\"|node_name = \"\"|node_name is empty; name this machine",
                "node_name = \"frontend-sala-mi-1\"|node_name = 7|node_name is 7; give a string in quotes",
                "zone = \"sala-mi\"||zone is missing; name the zone of this machine",
                "ip_address = \"10.1.0.10\"||ip_address is missing; give this machine's IPv4 address",
                "ip_address = \"10.1.0.10\"|ip_address = \"::1\"|ip_address is '::1'; give this machine's IPv4 address",
                "ip_address = \"10.1.0.10\"|ip_address = \"10.1.0.256\"|"
                        + "ip_address is '10.1.0.256'; give this machine's IPv4 address",
                "serves = [\"frontend\"]|serves = \"frontend\"|serves is frontend; give a list of strings",
                "serves = [\"frontend\"]|serves = [\"frontend\", 1]|serves contains 1; give a string in quotes",
                "[7720,7735]|[7720]|internal_port_range is [7720]; give the first and the last of "
                        + "at least 2 free ports, "
                        + "as [7720,7735]",
                "[7720,7735]|[7720,7720]|internal_port_range is [7720, 7720]; give the first and "
                        + "the last of at least 2 free "
                        + "ports, as [7720,7735]",
                "[7720,7735]|[7720,77350]|internal_port_range is [7720, 77350]; give the first and "
                        + "the last of at least 2 free "
                        + "ports, as [7720,7735]",
                "internal_port_range = [7720,7735]||internal_port_range is missing; give the first "
                        + "and the last of at least 2 "
                        + "free ports, as [7720,7735]",
                "10.2.0.43:8166|10.2.0.43|seed_nodes is invalid: '10.2.0.43' is not HOST:PORT; "
                        + "give an IPv4 address and a port from 1 to 65535",
                "10.2.0.43:8166|10.2.0.43:0|seed_nodes is invalid: '10.2.0.43:0' has a port out of range; "
                        + "give an IPv4 address and a port from 1 to 65535",
                "first_start = true|first_start = \"yes\"|first_start is yes; write true or false",
                "heartbeat_ms = 1200|heartbeat_ms = \"soon\"|heartbeat_ms is soon; give a number from 0 up",
                "lease_ms = 3001|lease_ms = -1|bounds.lease_ms is -1; give a number from 0 up",
                "again_s = 4.6|again_s = nan|bounds.again_s is NaN; give a number from 0 up",
                "memory_mb = 430|memory_mb = true|limits.memory_mb is true; give a number from 0 up",
                "frontend = \"10.1.0.10:8161\"||listen_addresses.frontend is missing; "
                        + "give the address to listen on, as \"10.1.0.10:8161\"",
                "readiness = \"10.1.0.10:8167\"||listen_addresses.readiness is missing; "
                        + "give the address to listen on, as \"10.1.0.10:8161\"",
                "readiness = \"10.1.0.10:8167\"|readiness = 8167|listen_addresses.readiness is "
                        + "8167; give a string in quotes",
                "sala-mi = \"pianura\"|sala-mi = 1|zones.sala-mi is 1; give a string in quotes",
            })
    void reportsTheFieldAndHowToCorrectIt(String original, String replacement, String fault) {
        String text = SampleSettings.ROUTER.replace(original, replacement == null ? "" : replacement);

        assertFalse(text.equals(SampleSettings.ROUTER), "the replacement changes nothing");
        assertEquals(List.of(fault), faultsOf(text));
    }

    @Test
    void rejectsAnEmptyListOfSeeds() {
        String text = SampleSettings.ROUTER.replaceFirst("seed_nodes = .*", "seed_nodes = []");

        assertEquals(
                List.of("seed_nodes is missing or empty; give control_plane addresses of controllers, "
                        + "as [\"10.1.0.13:8166\"]"),
                faultsOf(text));
    }

    @Test
    void reportsEveryErrorAtOnce() {
        String text = SampleSettings.ROUTER
                .replace("zone = \"sala-mi\"", "")
                .replace("drain_ms = 2000", "drain_ms = \"2000\"")
                .replace("[7720,7735]", "7720")
                .replace("10.3.0.10:8166", "x");

        assertEquals(
                List.of(
                        "internal_port_range is 7720; give the first and the last of at least 2 free ports, "
                                + "as [7720,7735]",
                        "zone is missing; name the zone of this machine",
                        "seed_nodes is invalid: 'x' is not HOST:PORT; give an IPv4 address and a port from 1 to 65535",
                        "bounds.drain_ms is 2000; give a number from 0 up"),
                faultsOf(text));
    }

    @Test
    void reportsThePositionsOfTomlSyntaxErrors() {
        List<String> faults = faultsOf("zone = \"a\"\nzone = \"b\"\nrole = \"a\"\nrole = \"b\"\n");

        assertEquals(2, faults.size(), faults.toString());
        assertTrue(faults.get(0).startsWith("node.toml at line 2, column 1 is not TOML: "), faults.get(0));
        assertTrue(faults.get(1).startsWith("node.toml at line 4, column 1 is not TOML: "), faults.get(1));
        assertEquals(1, faultsOf("node_name = \n").size());
    }

    @Test
    void reportsAFileThatCannotBeRead(@org.junit.jupiter.api.io.TempDir Path directory) {
        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> SettingsReader.read(directory.resolve("none.toml")));

        assertTrue(
                exception.getMessage().endsWith("; name a readable file in PINEWICK_CONFIG"), exception.getMessage());
    }
}
