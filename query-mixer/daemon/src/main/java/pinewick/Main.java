package pinewick;

import pinewick.lifecycle.Commands;

/** Where the program starts. */
public final class Main {
    private Main() {}

    public static void main(String[] words) {
        // A mixer that comes back must serve soon, and loading picocli takes a third of a second of its start
        // (measured: 0.3 s of 1.0 s on one core), so the two commands without options go round it.
        boolean plain =
                words.length == 1 || (words.length == 3 && words[0].equals("serve") && words[1].equals("--operator"));
        System.exit(plain ? Commands.plain(words[0], words) : Commands.run(words));
    }
}
