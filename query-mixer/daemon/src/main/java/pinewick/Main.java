package pinewick;

import pinewick.lifecycle.Commands;

/** The program's entry point. */
public final class Main {
    private Main() {}

    public static void main(String[] arguments) {
        // A restarted router must serve soon, and loading picocli takes a third of the start (measured: 0.3 s of 1.0 s
        // on one core), so commands without options, and serve with --operator alone, bypass it.
        boolean isPlain = arguments.length == 1
                || (arguments.length == 3 && arguments[0].equals("serve") && arguments[1].equals("--operator"));
        System.exit(isPlain ? Commands.runWithoutParser(arguments[0], arguments) : Commands.run(arguments));
    }
}
