package pinewick.system;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/**
 * The environment of the {@link TrainingRun}: free ports and fake replicas on loopback, a temporary directory, and
 * settings for both programs. Closing it removes the directory.
 */
final class TrainingEnvironment implements Closeable {
    private static final int MAX_PORT_ATTEMPTS = 50;
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 30_000;

    private final InetAddress host = InetAddress.getByName("127.0.0.1");
    private final int internalPort = freePortPair();
    private final SocketAddress frontend = freeAddress();
    private final SocketAddress readiness = freeAddress();
    private final SocketAddress controlPlane = freeAddress();
    private final Path directory;
    private final List<FakeReplica> replicas;

    /** @param parent where the temporary directory is created; {@link #close} removes it */
    TrainingEnvironment(Path parent) throws IOException {
        directory = Files.createTempDirectory(parent, "rehearsal");
        replicas = List.of(
                new FakeReplica("i-prefill", "prefill", host),
                new FakeReplica("i-decode", "decode", host),
                new FakeReplica("i-plain", "", host));
    }

    SocketAddress frontend() {
        return frontend;
    }

    SocketAddress readiness() {
        return readiness;
    }

    SocketAddress controlPlane() {
        return controlPlane;
    }

    List<FakeReplica> replicas() {
        return replicas;
    }

    NodeSettings routerSettings() throws InvalidSettingsException {
        return SettingsReader.parse(routerText(), "rehearsal of router");
    }

    NodeSettings controllerSettings() throws InvalidSettingsException {
        return SettingsReader.parse(controllerText(), "rehearsal of controller");
    }

    /** Writes the settings file of the router. */
    Path routerSettingsFile() throws IOException {
        return Files.writeString(directory.resolve("router.toml"), routerText());
    }

    /** Writes the settings file of the controller. */
    Path controllerSettingsFile() throws IOException {
        return Files.writeString(directory.resolve("controller.toml"), controllerText());
    }

    private String routerText() {
        String listen = "frontend = \"" + frontend + "\"\nreadiness = \"" + readiness + "\"\n";
        return settingsText("router", "frontend", "", listen);
    }

    private String controllerText() {
        String listen = "control_plane = \"" + controlPlane + "\"\n";
        return settingsText("controller", "control_plane", "data_directory = '" + directory + "'\n", listen);
    }

    private String settingsText(String role, String serves, String additionalFields, String listen) {
        return "node_name = \"rehearsal\"\nrole = \"" + role + "\"\nserves = [\"" + serves + "\"]\n"
                + "ip_address = \"" + host.getHostAddress() + "\"\nzone = \"z\"\nregion = \"r\"\n"
                + "internal_port_range = [" + internalPort + "," + (internalPort + 1) + "]\n"
                + "seed_nodes = [\"" + controlPlane + "\"]\nfirst_start = true\n"
                + "counts_for_quorum = " + !additionalFields.isEmpty() + "\nheartbeat_ms = 1000\n" + additionalFields
                + "[zones]\nz = \"r\"\n[listen_addresses]\n" + listen + "[limits]\nfile_descriptors = 1024\n"
                + "[bounds]\ngrace_period_s = 1\nretry_budget_slack = 20\nrevocation_closed = true\n"
                + "quota_slack = 100000\n";
    }

    private SocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new SocketAddress(host.getHostAddress(), socket.getLocalPort());
        }
    }

    /** Returns the first of two consecutive free ports below the kernel's ephemeral range. */
    private int freePortPair() throws IOException {
        for (int attempts = 0; attempts < MAX_PORT_ATTEMPTS; attempts++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (isFree(port) && isFree(port + 1)) {
                return port;
            }
        }
        throw new IOException("no two consecutive free ports found on " + host);
    }

    private boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, host)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (FakeReplica replica : replicas) {
            replica.close();
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
