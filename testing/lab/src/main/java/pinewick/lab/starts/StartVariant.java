package pinewick.lab.starts;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** How the run line of the deploy file is changed for a start. */
public enum StartVariant {
    /** As the deploy file says. */
    AS_DEPLOYED,
    /** The class archive is mapped at an address that the kernel chooses. */
    ARCHIVE_RELOCATED,
    /** No class archive of the program's own. */
    WITHOUT_ARCHIVE,
    /** No class archive at all, not even that of the JDK. */
    WITHOUT_ANY_ARCHIVE;

    private static final String OWN_ARCHIVE = "-XX:SharedArchiveFile=";
    private static final String RELOCATION = "-XX:ArchiveRelocationMode=";

    /** The command with its options changed. */
    List<String> apply(List<String> command) {
        List<String> changed = new ArrayList<>();
        for (String word : command) {
            if (!isDropped(word)) {
                changed.add(word);
            }
        }
        if (this == ARCHIVE_RELOCATED) {
            changed.add(firstOption(changed), RELOCATION + 1);
        } else if (this == WITHOUT_ANY_ARCHIVE) {
            changed.add(1, "-Xshare:off");
        }
        return changed;
    }

    private boolean isDropped(String word) {
        return switch (this) {
            case AS_DEPLOYED -> false;
            case ARCHIVE_RELOCATED -> word.startsWith(RELOCATION);
            case WITHOUT_ARCHIVE, WITHOUT_ANY_ARCHIVE -> word.startsWith(OWN_ARCHIVE);
        };
    }

    /** Behind the option that unlocks diagnostic ones. */
    private static int firstOption(List<String> command) {
        return command.indexOf("-XX:+UnlockDiagnosticVMOptions") + 1;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
