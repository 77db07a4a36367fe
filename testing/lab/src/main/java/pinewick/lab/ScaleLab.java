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
 * The router fleet at the size that the users aim at: hollow routers and replicas, many a process, beside real
 * controllers and a few real routers, over loopback.
 */
@Command(name = "scale", description = "Up to 420 routers and 2,200 replicas, hollow, beside real controllers.")
final class ScaleLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");

    @Option(names = "--quick", description = "ends within 45 s: two small sizes")
    private boolean quick;

    @Option(names = "--sizes", split = ",", description = "ROUTERS:REPLICAS in place of the usual sizes")
    private List<String> sizes = List.of();

    @Option(names = "--seed", description = "of all chance (default ${DEFAULT-VALUE})")
    private long seed = 20261202;

    @Option(names = "--results", description = "folder for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/scale");

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM)) {
            System.err.println("pinewick-lab: " + PROGRAM + " is not there; build the module system first");
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
        JsonArray all = new JsonArray();
        runs.forEach(all::add);
        figures.add("sizes", all);
        JsonArray faults = new JsonArray();
        report.faults().forEach(faults::add);
        figures.add("faults", faults);
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
