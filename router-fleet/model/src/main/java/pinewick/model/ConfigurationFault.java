package pinewick.model;

/**
 * One reason why a configuration was rejected.
 *
 * @param item section and name of the item, for example {@code routes/r-7}
 * @param field the field within the item, or an empty string for the complete item
 * @param reason what is wrong and how to correct it
 */
public record ConfigurationFault(String item, String field, String reason) {
    @Override
    public String toString() {
        return (field.isEmpty() ? item : item + "." + field) + ": " + reason;
    }
}
