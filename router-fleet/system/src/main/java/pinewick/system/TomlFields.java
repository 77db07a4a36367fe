package pinewick.system;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.model.SocketAddress;

/**
 * Typed access to a table of a settings file. A field that is missing or has the wrong type is recorded as a fault and
 * its default is returned, so that all faults are reported at once.
 */
final class TomlFields {
    private final String path;
    private final UnmodifiableConfig table;
    private final List<SettingsFault> faults;

    private TomlFields(String path, UnmodifiableConfig table, List<SettingsFault> faults) {
        this.path = path;
        this.table = table;
        this.faults = faults;
    }

    static TomlFields ofRoot(UnmodifiableConfig root, List<SettingsFault> faults) {
        return new TomlFields("", root, faults);
    }

    /** A nested table; if it is absent, so are all its fields. */
    TomlFields table(String key) {
        Object value = value(key);
        if (value instanceof UnmodifiableConfig innerTable) {
            return new TomlFields(path + key + ".", innerTable, faults);
        }
        if (value != null) {
            fault(key, "is not a table; write it as [" + path + key + "]");
        }
        return new TomlFields(path + key + ".", null, faults);
    }

    /** The value of a field as text for a fault; {@code missing} if it is absent. */
    String valueText(String key) {
        Object value = value(key);
        return value == null ? "missing" : value.toString();
    }

    void fault(String key, String reason) {
        faults.add(new SettingsFault(path + key, reason));
    }

    boolean has(String key) {
        return value(key) != null;
    }

    String requiredString(String key, String remedy) {
        if (!has(key)) {
            fault(key, "is missing; " + remedy);
            return "";
        }
        String text = string(key, "");
        if (text.isEmpty() && value(key) instanceof String) {
            fault(key, "is empty; " + remedy);
        }
        return text;
    }

    String string(String key, String defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        fault(key, "is " + value + "; give a string in quotes");
        return defaultValue;
    }

    boolean bool(String key, boolean defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        fault(key, "is " + value + "; write true or false");
        return defaultValue;
    }

    /** A finite number of at least 0, rounded to the nearest integer and limited to {@link Integer#MAX_VALUE}. */
    int integer(String key, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, Math.round(number(key, defaultValue)));
    }

    /** A finite number of at least 0. */
    double number(String key, double defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && Double.isFinite(number.doubleValue()) && number.doubleValue() >= 0) {
            return number.doubleValue();
        }
        fault(key, "is " + value + "; give a number from 0 up");
        return defaultValue;
    }

    List<String> strings(String key) {
        List<String> strings = new ArrayList<>();
        if (has(key) && list(key).isEmpty()) {
            fault(key, "is " + valueText(key) + "; give a list of strings");
        }
        for (Object element : list(key).orElse(List.of())) {
            if (element instanceof String text) {
                strings.add(text);
            } else {
                fault(key, "contains " + element + "; give a string in quotes");
            }
        }
        return strings;
    }

    List<SocketAddress> addresses(String key) {
        List<SocketAddress> addresses = new ArrayList<>();
        for (String text : strings(key)) {
            parse(key, text).ifPresent(addresses::add);
        }
        return addresses;
    }

    Optional<SocketAddress> address(String key) {
        if (value(key) instanceof String text) {
            return parse(key, text);
        }
        string(key, "");
        return Optional.empty();
    }

    /** The elements of a list, of any type; empty if the field is absent or not a list. */
    Optional<List<Object>> list(String key) {
        return value(key) instanceof List<?> elements ? Optional.of(List.copyOf(elements)) : Optional.empty();
    }

    /** The strings of this table by their keys. */
    Map<String, String> stringsByKey() {
        Map<String, String> strings = new LinkedHashMap<>();
        if (table != null) {
            table.valueMap().keySet().forEach(key -> strings.put(key, string(key, "")));
        }
        return strings;
    }

    private Optional<SocketAddress> parse(String key, String text) {
        try {
            return Optional.of(SocketAddress.parse(text));
        } catch (IllegalArgumentException e) {
            fault(key, "is invalid: " + e.getMessage() + "; give an IPv4 address and a port from 1 to 65535");
            return Optional.empty();
        }
    }

    private Object value(String key) {
        return table == null ? null : table.get(List.of(key));
    }
}
