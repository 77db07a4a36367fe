package pinewick.lifecycle;

import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import pinewick.loop.Log;
import pinewick.simulator.SimulatorAdapter;
import sun.misc.Signal;

/** Implements the subcommands. */
final class CommandActions {
    private static final String WARM_UP_CONFIG =
            """
        {"limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[]},"settings":{
         "categories":[{"name":"any","slo-ns":1e9,"hard-limit-ns":3e9,"effect":"retryable"},
          {"name":"once","slo-ns":1e9,"hard-limit-ns":3e9,"effect":"dedup","dedup-window-ns":3e9}],
         "bounds":{"multiplex":100,"try-limit":4,"probing":true,"may-cancel":true,"parallel-tries":true},
         "family-info":{"cells":4,"reach":1,"slabs":8,"per-call":16}}}""";

    private CommandActions() {}

    /** Serves until a signal stops the process; returns 2 if the configuration is invalid. */
    static int serve(String operatorFile) throws Exception {
        StartupConfig config;
        OperatorConfig operatorConfig;
        try {
            operatorConfig = operatorFile == null ? null : OperatorConfig.read(Path.of(operatorFile));
            config = StartupConfig.read(System.getenv());
        } catch (IllegalArgumentException e) {
            System.err.println("pinewick: " + e.getMessage());
            return 2;
        }
        start(config, operatorConfig);
        Thread.currentThread().join();
        return 0;
    }

    /** Checks the configuration and prints a summary; returns 2 if it is invalid. */
    static int check(String operatorFile) {
        try {
            if (operatorFile != null) {
                OperatorConfig operatorConfig = OperatorConfig.read(Path.of(operatorFile));
                System.out.println(
                        operatorConfig.registry() == null
                                ? "operator's file: no registry configured"
                                : "operator's file: " + operatorConfig.registry());
                if (System.getenv("EDGE_CONFIG") == null) {
                    return 0;
                }
            }
            StartupConfig config = StartupConfig.read(System.getenv());
            System.out.println(config.name() + " listens at " + config.listen() + ", discovery at "
                    + config.discovery() + ", "
                    + config.deployment().serviceClasses().size() + " service classes, "
                    + config.knownReplicas().entries().size() + " searchers known at revision "
                    + config.knownReplicas().revision()
                    + "\n" + config.limits());
            return 0;
        } catch (IllegalArgumentException e) {
            System.err.println("pinewick: " + e.getMessage());
            return 2;
        }
    }

    private static RouterServer start(StartupConfig config, OperatorConfig operatorConfig) throws Exception {
        Log log = operatorConfig != null && operatorConfig.log() != null
                ? new StructuredLog(operatorConfig.log(), config.limits().maxLogLinesPerSecond())
                : new Log(System.err, config.limits().maxLogLinesPerSecond());
        log.captureLibraryLogs();
        RouterServer server = new RouterServer(config, operatorConfig, log);
        AtomicLong reloads = new AtomicLong();
        // Each signal is handled on its own thread: the file is read outside the loop, and reads may overtake another.
        Signal.handle(new Signal("HUP"), any -> {
            long number = reloads.incrementAndGet();
            try {
                server.reload(number, StartupConfig.reread(System.getenv()), null);
            } catch (RuntimeException e) {
                server.reload(number, null, e.getMessage());
            }
        });
        Signal.handle(new Signal("TERM"), any -> server.stop());
        Signal.handle(new Signal("INT"), any -> server.stop());
        return server;
    }

    static int benchlink() throws Exception {
        SimulatorAdapter.run(System.in, System.out);
        return 0;
    }

    /** Starts, serves nobody and stops, so that a build can archive the classes that a start loads. */
    static int warmUp() throws Exception {
        // Its own listener is also configured as discovery: the watch request is sent there and gets a 404.
        String ownAddress;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ownAddress = "127.0.0.1:" + socket.getLocalPort();
        }
        RouterServer server = start(
                StartupConfig.of(
                        JsonParser.parseString(WARM_UP_CONFIG).getAsJsonObject(),
                        Map.of("EDGE_LISTEN", ownAddress, "EDGE_DISCOVERY", ownAddress)),
                null);
        Thread.sleep(2500);
        server.stop();
        Thread.currentThread().join();
        return 0;
    }
}
