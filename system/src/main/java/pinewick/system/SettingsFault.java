package pinewick.system;

/**
 * One fault of a settings file.
 *
 * @param field the field by its name in the file, or the file's path for the file as a whole
 * @param sentence what is wrong with it and how to mend it
 */
public record SettingsFault(String field, String sentence) {
    @Override
    public String toString() {
        return field + " " + sentence;
    }
}
