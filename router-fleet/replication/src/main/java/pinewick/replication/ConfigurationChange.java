package pinewick.replication;

/**
 * A change of the configuration as an operator submitted it.
 *
 * @param kind whether it replaces the whole configuration or updates named items
 * @param baseVersion the configuration version that it is based on
 * @param body JSON as received
 */
public record ConfigurationChange(Kind kind, long baseVersion, byte[] body) {
    /** The call of the operator API that submitted it. */
    public enum Kind {
        /** {@code POST /config/replace}. */
        REPLACE,
        /** {@code POST /config/update}. */
        UPDATE
    }
}
