package pinewick.system;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for a settings file with which a program cannot start. It lists every fault that was found, so that an
 * operator can correct all of them at once.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<SettingsFault> faults;

    public InvalidSettingsException(List<SettingsFault> faults) {
        super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Every fault, in the order in which the fields are read. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
