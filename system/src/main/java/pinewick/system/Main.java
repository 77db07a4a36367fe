package pinewick.system;

/** Where the programs start. */
public final class Main {
    private Main() {}

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] words) {
        System.exit(run(words));
    }

    /** What machines start goes round the parser of the command line, which is slow to load. */
    private static int run(String[] words) {
        String command = words.length == 1 ? words[0] : "";
        return switch (command) {
            case "router" -> ProgramRunner.run(Program::router);
            case "controller" -> ProgramRunner.run(Program::controller);
            case "rehearse" -> new Rehearsal().run();
            default -> Commands.run(words);
        };
    }
}
