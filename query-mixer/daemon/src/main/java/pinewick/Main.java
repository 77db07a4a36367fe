package pinewick;

import pinewick.lifecycle.Commands;

/** Where the program starts. */
public final class Main {
    private Main() {}

    public static void main(String[] arguments) {
        // A mixer that comes back must serve soon, and loading picocli takes a third of a second of its start
        // (measured: 0.3 s of 1.0 s on one core), so the two commands without options go round it.
        boolean isPlain = arguments.length == 1
                || (arguments.length == 3 && arguments[0].equals("serve") && arguments[1].equals("--operator"));
        System.exit(isPlain ? Commands.runWithoutParser(arguments[0], arguments) : Commands.run(arguments));
    }
}
