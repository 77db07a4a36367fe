package pinewick.system;

/**
 * A fault in a settings file.
 *
 * @param field the name of the field in the file, or the path of the file if the fault concerns the complete file
 * @param reason the fault and how to correct it
 */
public record SettingsFault(String field, String reason) {
    @Override
    public String toString() {
        return field + " " + reason;
    }
}
