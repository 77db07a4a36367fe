package pinewick.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import pinewick.lab.demo.Demo;

/** Demonstrates a small fleet: routers, controllers, fake replicas, an operator and clients. */
@Command(name = "demo", description = "A small fleet on loopback; prints each event and finishes within 30 s.")
final class DemoLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM)) {
            System.err.println("pinewick-lab: " + PROGRAM + " not found; run mvn -q -DskipTests package first,"
                    + " and this program from the repository's root");
            return 2;
        }
        // The JDK's client needs the first to set another Host header than the router's; without the second, the
        // JDK's server delays responses (Nagle's algorithm).
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        return new Demo(System.out).run() ? 0 : 1;
    }
}
