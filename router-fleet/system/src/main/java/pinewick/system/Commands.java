package pinewick.system;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/** The commands of the command line. */
@Command(
        name = "pinewick-system",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.ManifestVersion.class,
        description = "Router fleet for split prefill and decode: routers, controllers and their tools.")
final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command and returns its exit code. */
    static int run(String... args) {
        return newCommandLine().execute(args);
    }

    /** Creates the command-line parser. */
    static CommandLine newCommandLine() {
        return new CommandLine(new Commands());
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command");
    }

    @Command(name = "router", description = "Runs a router with the settings file that PINEWICK_CONFIG names.")
    int router() {
        return ProgramRunner.run(Program.Kind.ROUTER);
    }

    @Command(name = "controller", description = "Runs a controller with the settings file that PINEWICK_CONFIG names.")
    int controller() {
        return ProgramRunner.run(Program.Kind.CONTROLLER);
    }

    @Command(
            name = "check-settings",
            description = "Validates a settings file as a program would and prints every fault.")
    int checkSettings(@Parameters(paramLabel = "FILE") Path file) {
        try {
            NodeSettings settings = SettingsReader.read(file);
            spec.commandLine()
                    .getOut()
                    .println("settings of " + settings.nodeName() + " in " + settings.zone() + " are valid");
            return ProgramRunner.EXIT_OK;
        } catch (InvalidSettingsException e) {
            e.faults().forEach(spec.commandLine().getErr()::println);
            return ProgramRunner.EXIT_USAGE;
        }
    }

    @Command(name = "check-config", description = "Validates a complete configuration as a controller would.")
    int checkConfiguration(@Parameters(paramLabel = "FILE") Path file) {
        try {
            ConfigurationDocument document = ConfigurationChecks.parseReplacement(Files.readAllBytes(file));
            spec.commandLine()
                    .getOut()
                    .println("configuration " + document.version() + " is valid: " + count(document, "routes")
                            + " routes, " + count(document, "services") + " services");
            return ProgramRunner.EXIT_OK;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(spec.commandLine().getErr()::println);
            return ProgramRunner.EXIT_USAGE;
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + " cannot be read: " + e + "; name a readable file");
            return ProgramRunner.EXIT_USAGE;
        }
    }

    private static int count(ConfigurationDocument document, String section) {
        return document.sections().getOrDefault(section, Map.of()).size();
    }

    @Command(name = "status", description = "Prints the state of a controller or the readiness of a router.")
    int status(
            @Parameters(paramLabel = "ADDRESS", description = "HOST:PORT of the readiness or control_plane address")
                    String address) {
        SocketAddress processAddress;
        try {
            processAddress = SocketAddress.parse(address);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
        try {
            HttpCall.Response response = HttpCall.get(processAddress, "/status").send();
            if (response.status() == HttpURLConnection.HTTP_NOT_FOUND) {
                response = HttpCall.get(processAddress, "/ready").send();
            }
            spec.commandLine().getOut().println(response.status() + " " + response.body());
            return response.status() == HttpURLConnection.HTTP_OK ? ProgramRunner.EXIT_OK : ProgramRunner.EXIT_FAILED;
        } catch (IOException e) {
            spec.commandLine().getErr().println(address + " does not respond: " + e);
            return ProgramRunner.EXIT_FAILED;
        }
    }

    @Command(name = "version", description = "Prints the version.")
    int version() {
        spec.commandLine().getOut().println(new ManifestVersion().getVersion()[0]);
        return ProgramRunner.EXIT_OK;
    }

    @Command(
            name = "rehearse",
            hidden = true,
            description = "Runs both programs briefly to record the classes they load.")
    int rehearse(@Option(names = "--strict", description = "exit with an error if a step fails") boolean strict) {
        int exitCode = new TrainingRun().run();
        return strict ? exitCode : ProgramRunner.EXIT_OK;
    }

    /** Reads the version from the manifest of the jar. */
    static final class ManifestVersion implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"pinewick-system " + (version == null ? "unpackaged" : version)};
        }
    }
}
