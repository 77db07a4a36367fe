package pinewick.lifecycle;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(
        name = "pinewick",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Router of queries over replicated shards.",
        subcommands = {
            Commands.ServeCommand.class,
            Commands.CheckCommand.class,
            Commands.BenchCommand.class,
            Commands.RehearseCommand.class,
            Commands.VersionCommand.class
        })
public final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Parses the arguments and runs the command; returns the exit code. */
    public static int run(String[] arguments) {
        return new CommandLine(new Commands()).execute(arguments);
    }

    /** Runs a command without options without loading the command-line parser, to start faster. */
    public static int runWithoutParser(String command, String[] arguments) {
        try {
            return switch (command) {
                case "serve" -> CommandActions.serve(arguments.length > 2 ? arguments[2] : null);
                case "benchlink" -> CommandActions.benchlink();
                case "rehearse" -> CommandActions.warmUp();
                default -> run(arguments);
            };
        } catch (Exception e) {
            System.err.println("pinewick: " + e);
            return 1;
        }
    }

    static String versionText() {
        String version = Commands.class.getPackage().getImplementationVersion();
        return "pinewick " + (version == null ? "unpackaged" : version);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is required");
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {versionText()};
        }
    }

    @Command(
            name = "serve",
            description = "Serves as a mixer; the environment variable EDGE_CONFIG names the " + "configuration.")
    static final class ServeCommand implements Callable<Integer> {
        @CommandLine.Option(names = "--operator", paramLabel = "FILE", description = "the operator's own file")
        private String operator;

        @Override
        public Integer call() throws Exception {
            return CommandActions.serve(operator);
        }
    }

    @Command(name = "check", description = "Reads the configuration as serve would and prints a summary.")
    static final class CheckCommand implements Callable<Integer> {
        @CommandLine.Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's own file; without EDGE_CONFIG " + "only this file is checked")
        private String operator;

        @Override
        public Integer call() {
            return CommandActions.check(operator);
        }
    }

    @Command(name = "benchlink", description = "Speaks the benchmark's protocol on standard input and output.")
    static final class BenchCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return CommandActions.benchlink();
        }
    }

    @Command(
            name = "rehearse",
            description = "Starts, serves nobody and stops; the build archives the classes it loads.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return CommandActions.warmUp();
        }
    }

    @Command(name = "version", description = "Prints the version.")
    static final class VersionCommand implements Runnable {
        @Override
        public void run() {
            System.out.println(versionText());
        }
    }
}
