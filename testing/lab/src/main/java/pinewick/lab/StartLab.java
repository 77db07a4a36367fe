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

/** Starts of the deployed programs, over and over, to find those that end by themselves. */
@Command(name = "starts", description = "Routers and a controller started by the deploy file's lines, and variants.")
final class StartLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");
    private static final Path CLASS_ARCHIVE = Path.of("target/pinewick-system.jsa");
    private static final int QUICK_STARTS = 40;

    @Option(names = "--quick", description = "ends within 45 s: " + QUICK_STARTS + " starts")
    private boolean quick;

    @Option(names = "--starts", description = "how many in all (default ${DEFAULT-VALUE})")
    private int starts = 2_000;

    @Option(names = "--routers", description = "restarted at the same time, beside a controller (${DEFAULT-VALUE})")
    private int routers = 4;

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM) || !Files.exists(CLASS_ARCHIVE)) {
            System.err.println("pinewick-lab: run the build line of deploy/system.toml first");
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
        JsonArray list = new JsonArray();
        faults.forEach(list::add);
        json.add("faults", list);
        json.addProperty("pass", faults.isEmpty());
        System.out.println(json);
        return faults.isEmpty() ? 0 : 1;
    }
}
