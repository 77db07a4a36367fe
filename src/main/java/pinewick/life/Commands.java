package pinewick.life;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import pinewick.benchlink.Benchlink;
import sun.misc.Signal;

/** The command line. */
@Command(name = "pinewick", mixinStandardHelpOptions = true, description = "Co-ordinator of queries over replicated "
    + "shards.", subcommands = {Commands.ServeCommand.class, Commands.BenchCommand.class})
public final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static int run(String[] words) {
        return new CommandLine(new Commands()).execute(words);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(name = "serve", description = "Serves as a real mixer; EDGE_CONFIG names the configuration.")
    static final class ServeCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            Log log = new Log(System.err, 200);
            StartOrders orders;
            try {
                orders = StartOrders.read(System.getenv());
            } catch (IllegalArgumentException wrong) {
                System.err.println("pinewick: " + wrong.getMessage());
                return 2;
            }
            Serve serve = new Serve(orders, log);
            Signal.handle(new Signal("TERM"), any -> serve.stop());
            Signal.handle(new Signal("INT"), any -> serve.stop());
            Thread.currentThread().join();
            return 0;
        }
    }

    @Command(name = "benchlink", description = "Speaks the bench's wire on standard input and output.")
    static final class BenchCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            Benchlink.run(System.in, System.out);
            return 0;
        }
    }
}
