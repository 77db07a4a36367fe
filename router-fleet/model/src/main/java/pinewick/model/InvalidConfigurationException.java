package pinewick.model;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration was rejected. Contains every fault that was found, so that the operator can correct all of them at
 * once.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<ConfigurationFault> faults;

    public InvalidConfigurationException(List<ConfigurationFault> faults) {
        super(faults.stream().map(ConfigurationFault::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /** Every fault, in the order of the document. */
    public List<ConfigurationFault> faults() {
        return faults;
    }
}
