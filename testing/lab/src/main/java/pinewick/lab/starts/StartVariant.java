package pinewick.lab.starts;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** How the command of the deploy file is changed for a start. */
public enum StartVariant {
    /** The unchanged command of the deploy file. */
    AS_DEPLOYED,
    /** The class archive is mapped at an address chosen by the kernel. */
    ARCHIVE_RELOCATED,
    /** Without the class archive of the program. */
    WITHOUT_ARCHIVE,
    /** Without any class archive, including that of the JDK. */
    WITHOUT_ANY_ARCHIVE;

    private static final String OWN_ARCHIVE = "-XX:SharedArchiveFile=";
    private static final String RELOCATION = "-XX:ArchiveRelocationMode=";

    /** Returns the command with the options of this variant. */
    List<String> apply(List<String> command) {
        List<String> changed = new ArrayList<>();
        for (String argument : command) {
            if (!isDropped(argument)) {
                changed.add(argument);
            }
        }
        if (this == ARCHIVE_RELOCATED) {
            changed.add(diagnosticOptionIndex(changed), RELOCATION + 1);
        } else if (this == WITHOUT_ANY_ARCHIVE) {
            changed.add(1, "-Xshare:off");
        }
        return changed;
    }

    private boolean isDropped(String argument) {
        return switch (this) {
            case AS_DEPLOYED -> false;
            case ARCHIVE_RELOCATED -> argument.startsWith(RELOCATION);
            case WITHOUT_ARCHIVE, WITHOUT_ANY_ARCHIVE -> argument.startsWith(OWN_ARCHIVE);
        };
    }

    /** The index after the option that unlocks diagnostic options. */
    private static int diagnosticOptionIndex(List<String> command) {
        return command.indexOf("-XX:+UnlockDiagnosticVMOptions") + 1;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
