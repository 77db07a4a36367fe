package pinewick.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.lab.starts.StartCounts;
import pinewick.lab.starts.StartLoop;

/** Starts the deployed programs repeatedly to find processes that exit unexpectedly. */
@Command(
        name = "starts",
        description = "Starts routers and a controller with the command lines of the deploy file, and variants.")
final class StartLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");
    private static final Path CLASS_ARCHIVE = Path.of("target/pinewick-system.jsa");
    private static final int QUICK_STARTS = 40;

    @Option(names = "--quick", description = "finishes within 45 s: " + QUICK_STARTS + " starts")
    private boolean quick;

    @Option(names = "--starts", description = "total number of starts (default ${DEFAULT-VALUE})")
    private int starts = 2_000;

    @Option(
            names = "--routers",
            description = "routers restarted concurrently with a controller (default ${DEFAULT-VALUE})")
    private int routers = 4;

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM) || !Files.exists(CLASS_ARCHIVE)) {
            System.err.println("pinewick-lab: run the build command of deploy/system.toml first");
            return 2;
        }
        StartCounts counts = new StartCounts();
        new StartLoop(quick ? QUICK_STARTS : starts, routers, counts).run();
        List<String> faults = counts.faults();
        System.out.print(counts.table());
        faults.forEach(System.out::println);
        JsonObject json = new JsonObject();
        json.addProperty("experiment", "starts, processes on loopback");
        json.addProperty("ready", counts.ready());
        JsonArray faultArray = new JsonArray();
        faults.forEach(faultArray::add);
        json.add("faults", faultArray);
        json.addProperty("pass", faults.isEmpty());
        System.out.println(json);
        return faults.isEmpty() ? 0 : 1;
    }
}
