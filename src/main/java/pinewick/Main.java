package pinewick;

import pinewick.benchlink.Benchlink;

/** Picks the front by its name; each front lives in a package of its own. */
public final class Main {
    private Main() {
    }

    public static void main(String[] words) throws Exception {
        if (words.length == 1 && words[0].equals("benchlink")) {
            Benchlink.run(System.in, System.out);
            return;
        }
        System.err.println("usage: java -jar pinewick.jar benchlink");
        System.exit(2);
    }
}
