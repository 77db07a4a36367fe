package pinewick.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Experiment command line: one subcommand per subsystem. Each prints a table and a final JSON line with "pass". */
@Command(
        name = "pinewick-lab",
        mixinStandardHelpOptions = true,
        description = "Pinewick experiments: runs fault and load cases and stores the figures.",
        subcommands = {
            RegistryLab.class,
            AddressLab.class,
            FleetLab.class,
            StateLab.class,
            ScaleLab.class,
            ControlLab.class,
            RecoveryLab.class,
            DemoLab.class,
            StartLab.class
        })
public final class Lab implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Lab()).execute(arguments));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is required");
    }
}
