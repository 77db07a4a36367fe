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
            case "router" -> ProgramRunner.run(Program.Kind.ROUTER);
            case "controller" -> ProgramRunner.run(Program.Kind.CONTROLLER);
            case "rehearse" -> rehearse();
            default -> Commands.run(words);
        };
    }

    /** Whatever comes of it, the build goes on: the archive only makes the start quicker. */
    private static int rehearse() {
        new Rehearsal().run();
        return ProgramRunner.DONE;
    }
}
