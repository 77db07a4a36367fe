package pinewick.system;

/** The entry point of both programs. */
public final class Main {
    private Main() {}

    /** Runs a command and exits the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs the commands of the deploy file without the command-line parser, which is slow to load. */
    private static int run(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        return switch (command) {
            case "router" -> ProgramRunner.run(Program.Kind.ROUTER);
            case "controller" -> ProgramRunner.run(Program.Kind.CONTROLLER);
            case "rehearse" -> rehearse();
            default -> Commands.run(args);
        };
    }

    /** Returns success even if a step fails, so that the build continues: the archive only speeds up the start. */
    private static int rehearse() {
        new TrainingRun().run();
        return ProgramRunner.EXIT_OK;
    }
}
