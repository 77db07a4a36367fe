package pinewick.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.lab.scale.FleetRun;
import pinewick.lab.scale.ScalePlan;
import pinewick.lab.scale.ScaleReport;

/**
 * Runs the router fleet at the users' target size over loopback: simulated routers and replicas, many per process, with
 * real controllers and a few real routers.
 */
@Command(
        name = "scale",
        description = "Up to 420 simulated routers and 2,200 simulated replicas with real controllers.")
final class ScaleLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");

    @Option(names = "--quick", description = "finishes within 45 s: two small sizes")
    private boolean quick;

    @Option(names = "--sizes", split = ",", description = "ROUTERS:REPLICAS, replaces the default sizes")
    private List<String> sizes = List.of();

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})")
    private long seed = 20261202;

    @Option(names = "--results", description = "output directory for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/scale");

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM)) {
            System.err.println("pinewick-lab: " + PROGRAM + " not found; build the module system first");
            return 2;
        }
        List<JsonObject> runs = new ArrayList<>();
        for (ScalePlan plan : plans()) {
            runs.add(new FleetRun(plan, seed).run());
        }
        ScaleReport report = new ScaleReport(runs);
        JsonObject figures = new JsonObject();
        figures.addProperty("experiment", "scale, processes on loopback");
        figures.addProperty("seed", seed);
        JsonArray runArray = new JsonArray();
        runs.forEach(runArray::add);
        figures.add("sizes", runArray);
        JsonArray faultArray = new JsonArray();
        report.faults().forEach(faultArray::add);
        figures.add("faults", faultArray);
        figures.addProperty("pass", report.faults().isEmpty());
        Files.createDirectories(results);
        Files.writeString(results.resolve(quick ? "quick.md" : "fleet.md"), report.table());
        Files.writeString(results.resolve(quick ? "quick.json" : "full.json"), figures + "\n");
        System.out.println(report.table());
        report.faults().forEach(System.out::println);
        System.out.println(figures);
        return report.faults().isEmpty() ? 0 : 1;
    }

    private List<ScalePlan> plans() {
        List<ScalePlan> plans = new ArrayList<>();
        for (String size : sizes) {
            String[] parts = size.split(":");
            plans.add(plan(Integer.parseInt(parts[0]), Integer.parseInt(parts[1])));
        }
        if (plans.isEmpty() && quick) {
            plans.add(plan(10, 50));
            plans.add(plan(40, 200));
        } else if (plans.isEmpty()) {
            plans.add(plan(30, 160));
            plans.add(plan(100, 520));
            plans.add(plan(420, 2_200));
        }
        return plans;
    }

    private ScalePlan plan(int routers, int replicas) {
        return quick ? ScalePlan.quick(routers, replicas) : ScalePlan.full(routers, replicas);
    }
}
