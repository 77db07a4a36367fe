package pinewick;

import pinewick.life.Commands;

/** Where the program starts. */
public final class Main {
    private Main() {
    }

    public static void main(String[] words) {
        System.exit(Commands.run(words));
    }
}
