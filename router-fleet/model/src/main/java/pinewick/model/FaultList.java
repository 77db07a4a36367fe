package pinewick.model;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of one document, so that all of them are reported at once. */
final class FaultList {
    /** Item name in faults that concern the complete document. */
    static final String DOCUMENT = "configuration";

    private final List<ConfigurationFault> faults = new ArrayList<>();

    void add(String item, String field, String reason) {
        faults.add(new ConfigurationFault(item, field, reason));
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    /** Throws if there is any fault. */
    void throwIfAny() throws InvalidConfigurationException {
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
    }

    /** Creates an exception with a single fault that concerns the complete document. */
    static InvalidConfigurationException single(String field, String reason) {
        return new InvalidConfigurationException(List.of(new ConfigurationFault(DOCUMENT, field, reason)));
    }
}
