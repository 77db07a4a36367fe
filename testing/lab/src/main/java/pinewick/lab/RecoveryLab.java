package pinewick.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pinewick.lab.recovery.Figures;
import pinewick.lab.recovery.RecoveryRun;

/** Measures repair, partition and configuration change times of real controller processes over loopback. */
@Command(
        name = "recovery",
        description = "Real controllers: time until fault tolerance is restored, and the cost of changes.")
final class RecoveryLab implements Callable<Integer> {
    private static final Path PROGRAM = Path.of("target/pinewick-system.jar");
    private static final Path CLASS_ARCHIVE = Path.of("target/pinewick-system.jsa");

    @Option(names = "--quick", description = "finishes within 45 s: one run per trial, fewer changes")
    private boolean quick;

    @Option(names = "--runs", description = "runs per trial (default ${DEFAULT-VALUE}; 1 with --quick)")
    private int runs = 5;

    @Option(names = "--trials", split = ",", description = "any of repair, freeze, pace, cost, away (default: all)")
    private List<String> trials = List.of();

    @Option(names = "--results", description = "output directory for table and figures (default ${DEFAULT-VALUE})")
    private Path results = Path.of("results/recovery");

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(PROGRAM)) {
            System.err.println("pinewick-lab: " + PROGRAM + " not found; build the module system first");
            return 2;
        }
        Figures figures = new Figures();
        new RecoveryRun(figures, quick, quick ? 1 : runs, trials).run();
        List<String> faults = figures.faults();
        JsonObject json = new JsonObject();
        json.addProperty("experiment", "recovery, processes on loopback");
        json.addProperty("class_archive", Files.exists(CLASS_ARCHIVE));
        json.add("figures", figures.toJson());
        JsonArray faultArray = new JsonArray();
        faults.forEach(faultArray::add);
        json.add("faults", faultArray);
        json.addProperty("pass", faults.isEmpty());
        Files.createDirectories(results);
        String baseName = (quick ? "quick" : "full") + (trials.isEmpty() ? "" : "-" + String.join("-", trials));
        Files.writeString(results.resolve(baseName + ".md"), figures.table());
        Files.writeString(results.resolve(baseName + ".json"), json + "\n");
        System.out.println(figures.table());
        faults.forEach(System.out::println);
        System.out.println(json);
        return faults.isEmpty() ? 0 : 1;
    }
}
