package pinewick.lifecycle;

import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import pinewick.benchlink.Benchlink;
import pinewick.loop.Log;
import sun.misc.Signal;

/** What the sub-commands do. */
final class CommandActions {
    private static final String REHEARSAL_ORDERS =
            """
        {"limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[]},"settings":{
         "categories":[{"name":"any","slo-ns":1e9,"hard-limit-ns":3e9,"effect":"retryable"},
          {"name":"once","slo-ns":1e9,"hard-limit-ns":3e9,"effect":"dedup","dedup-window-ns":3e9}],
         "bounds":{"multiplex":100,"try-limit":4,"probing":true,"may-cancel":true,"parallel-tries":true},
         "family-info":{"cells":4,"reach":1,"slabs":8,"per-call":16}}}""";

    private CommandActions() {}

    /** Serves until a signal ends it. */
    static int serve(String operatorFile) throws Exception {
        StartupConfig orders;
        OperatorConfig operator;
        try {
            operator = operatorFile == null ? null : OperatorConfig.read(Path.of(operatorFile));
            orders = StartupConfig.read(System.getenv());
        } catch (IllegalArgumentException wrong) {
            System.err.println("pinewick: " + wrong.getMessage());
            return 2;
        }
        start(orders, operator);
        Thread.currentThread().join();
        return 0;
    }

    static int check(String operatorFile) {
        try {
            if (operatorFile != null) {
                OperatorConfig operator = OperatorConfig.read(Path.of(operatorFile));
                System.out.println(
                        operator.registry() == null
                                ? "operator's file: nothing is on"
                                : "operator's file: " + operator.registry());
                if (System.getenv("EDGE_CONFIG") == null) {
                    return 0;
                }
            }
            StartupConfig orders = StartupConfig.read(System.getenv());
            System.out.println(orders.name() + " listens at " + orders.listen() + ", discovery at "
                    + orders.discovery() + ", "
                    + orders.deployment().serviceClasses().size() + " service grades, "
                    + orders.known().listings().size() + " searchers known at revision "
                    + orders.known().revision()
                    + "\n" + orders.limits());
            return 0;
        } catch (IllegalArgumentException wrong) {
            System.err.println("pinewick: " + wrong.getMessage());
            return 2;
        }
    }

    private static RouterServer start(StartupConfig orders, OperatorConfig operator) throws Exception {
        Log log = operator != null && operator.logs() != null
                ? new StructuredLog(operator.logs(), orders.limits().logLines())
                : new Log(System.err, orders.limits().logLines());
        log.takesOver();
        RouterServer serve = new RouterServer(orders, operator, log);
        AtomicLong asked = new AtomicLong();
        // Each signal has a thread of its own, so the file is read beside the loop, and may be read out of turn.
        Signal.handle(new Signal("HUP"), any -> {
            long number = asked.incrementAndGet();
            try {
                serve.reload(number, StartupConfig.readAgain(System.getenv()), null);
            } catch (RuntimeException wrong) {
                serve.reload(number, null, wrong.getMessage());
            }
        });
        Signal.handle(new Signal("TERM"), any -> serve.stop());
        Signal.handle(new Signal("INT"), any -> serve.stop());
        return serve;
    }

    static int benchlink() throws Exception {
        Benchlink.run(System.in, System.out);
        return 0;
    }

    /** Starts, serves nobody and stops, so that a build can keep the classes that a start loads. */
    static int rehearse() throws Exception {
        // Its own door stands in for discovery: the watch is asked for there and gets a 404.
        String own;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            own = "127.0.0.1:" + free.getLocalPort();
        }
        RouterServer serve = start(
                StartupConfig.of(
                        JsonParser.parseString(REHEARSAL_ORDERS).getAsJsonObject(),
                        Map.of("EDGE_LISTEN", own, "EDGE_DISCOVERY", own)),
                null);
        Thread.sleep(2500);
        serve.stop();
        Thread.currentThread().join();
        return 0;
    }
}
