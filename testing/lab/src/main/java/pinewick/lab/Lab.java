package pinewick.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The experiment program: a sub-command a subsystem; each prints a table and, last, a line of JSON with "pass". */
@Command(
        name = "pinewick-lab",
        mixinStandardHelpOptions = true,
        description = "Experiments with pinewick: hard cases played, figures kept.",
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

    public static void main(String[] words) {
        System.exit(new CommandLine(new Lab()).execute(words));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }
}
