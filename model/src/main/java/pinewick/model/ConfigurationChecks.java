package pinewick.model;

/** Reads the operator's bodies and checks them. TODO: helper A. */
public final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /**
     * Reads and checks a whole configuration ({@code POST /config/replace}).
     *
     * @throws InvalidConfigurationException with every fault
     */
    public static ConfigurationDocument parseReplacement(byte[] body) throws InvalidConfigurationException {
        throw new UnsupportedOperationException();
    }

    /**
     * Reads an update ({@code POST /config/update}) and applies it to {@code base}; the result is checked as a whole.
     *
     * @throws InvalidConfigurationException with every fault
     */
    public static ConfigurationDocument parseUpdate(ConfigurationDocument base, byte[] body)
            throws InvalidConfigurationException {
        throw new UnsupportedOperationException();
    }

    /**
     * The typed view of a document.
     *
     * @throws InvalidConfigurationException with every fault of the document
     */
    public static RoutingTable toRoutingTable(ConfigurationDocument document) throws InvalidConfigurationException {
        throw new UnsupportedOperationException();
    }

    /** The JSON of a document, as {@code GET /config/read} answers it. */
    public static byte[] toJson(ConfigurationDocument document) {
        throw new UnsupportedOperationException();
    }

    /** A delta as compact bytes, for disks and links; read back by {@link #readDelta}. */
    public static byte[] writeDelta(ConfigurationDelta delta) {
        throw new UnsupportedOperationException();
    }

    /** Reads what {@link #writeDelta} wrote. */
    public static ConfigurationDelta readDelta(byte[] bytes) {
        throw new UnsupportedOperationException();
    }
}
