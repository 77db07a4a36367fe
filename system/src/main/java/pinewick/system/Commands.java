package pinewick.system;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.NodeSettings;
import pinewick.model.RoutingTable;

/** The command line. */
@Command(
        name = "pinewick-system",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.ManifestVersion.class,
        description = "Router fleet for split prefill and decode: routers, controllers and their tools.")
final class Commands implements Runnable {
    private static final Duration STATUS_TIME_OUT = Duration.ofSeconds(5);

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command and returns its exit code. */
    static int run(String... words) {
        return new CommandLine(new Commands()).execute(words);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(name = "router", description = "Runs a router with the settings file that PINEWICK_CONFIG names.")
    int router() {
        return ProgramRunner.run(Program::router);
    }

    @Command(name = "controller", description = "Runs a controller with the settings file that PINEWICK_CONFIG names.")
    int controller() {
        return ProgramRunner.run(Program::controller);
    }

    @Command(name = "check-settings", description = "Reads a settings file as a program would, and tells every fault.")
    int checkSettings(@Parameters(paramLabel = "FILE") Path file) {
        try {
            NodeSettings settings = SettingsReader.read(file);
            spec.commandLine().getOut().println(
                    "settings of " + settings.nodeName() + " in " + settings.zone() + " are sound");
            return ProgramRunner.DONE;
        } catch (InvalidSettingsException e) {
            e.faults().forEach(spec.commandLine().getErr()::println);
            return ProgramRunner.MISUSED;
        }
    }

    @Command(name = "check-config", description = "Checks a whole configuration as a controller would.")
    int checkConfiguration(@Parameters(paramLabel = "FILE") Path file) {
        try {
            ConfigurationDocument document = ConfigurationChecks.parseReplacement(Files.readAllBytes(file));
            RoutingTable table = ConfigurationChecks.toRoutingTable(document);
            int routes = document.sections().get("routes").size();
            spec.commandLine().getOut().println("configuration " + table.version() + " is sound: " + routes
                    + " routes, " + table.services().size() + " services");
            return ProgramRunner.DONE;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(spec.commandLine().getErr()::println);
            return ProgramRunner.MISUSED;
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + " can't be read: " + e + "; name a readable file");
            return ProgramRunner.MISUSED;
        }
    }

    @Command(name = "status", description = "Asks a process how it is.")
    int status(@Parameters(paramLabel = "ADDRESS", description = "HOST:PORT of its readiness or control_plane address")
            String address) {
        HttpClient client = HttpClient.newBuilder().connectTimeout(STATUS_TIME_OUT).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/ready"))
                .timeout(STATUS_TIME_OUT)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            spec.commandLine().getOut().println(response.statusCode() + " " + response.body());
            return response.statusCode() == 200 ? ProgramRunner.DONE : ProgramRunner.FAILED;
        } catch (IOException e) {
            spec.commandLine().getErr().println(address + " does not answer: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ProgramRunner.FAILED;
    }

    @Command(name = "version", description = "Tells the version.")
    int version() {
        spec.commandLine().getOut().println(new ManifestVersion().getVersion()[0]);
        return ProgramRunner.DONE;
    }

    @Command(name = "rehearse", hidden = true, description = "Plays a short life of both programs, for the class archive.")
    int rehearse() {
        return new Rehearsal().run();
    }

    /** The version in the jar's manifest. */
    static final class ManifestVersion implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"pinewick-system " + (version == null ? "unpackaged" : version)};
        }
    }
}
