package pinewick.system;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pinewick.model.SocketAddress;

/**
 * Typed access to one table of a settings file. A field that is missing or of the wrong type becomes a fault and reads
 * as a default, so that all faults are reported at once.
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

    /** A table inside this one; all its fields are absent if it is. */
    TomlFields table(String key) {
        Object value = value(key);
        if (value instanceof UnmodifiableConfig inner) {
            return new TomlFields(path + key + ".", inner, faults);
        }
        if (value != null) {
            fault(key, "is not a table; write it as [" + path + key + "]");
        }
        return new TomlFields(path + key + ".", null, faults);
    }

    /** The text of a field's value, {@code missing} if it is absent. */
    String written(String key) {
        Object value = value(key);
        return value == null ? "missing" : value.toString();
    }

    void fault(String key, String reason) {
        faults.add(new SettingsFault(path + key, reason));
    }

    boolean has(String key) {
        return value(key) != null;
    }

    String requiredText(String key, String remedy) {
        if (!has(key)) {
            fault(key, "is missing; " + remedy);
            return "";
        }
        String text = text(key, "");
        if (text.isEmpty() && value(key) instanceof String) {
            fault(key, "is empty; " + remedy);
        }
        return text;
    }

    String text(String key, String defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        fault(key, "is " + value + "; put a text in quotes");
        return defaultValue;
    }

    boolean flag(String key, boolean defaultValue) {
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

    /** A number from 0 up, rounded to the nearest integer. */
    int intNumber(String key, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, Math.round(number(key, defaultValue)));
    }

    /** A number from 0 up. */
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

    List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        if (has(key) && list(key).isEmpty()) {
            fault(key, "is " + written(key) + "; give a list of texts");
        }
        for (Object element : list(key).orElse(List.of())) {
            if (element instanceof String text) {
                texts.add(text);
            } else {
                fault(key, "holds " + element + "; put a text in quotes");
            }
        }
        return texts;
    }

    List<SocketAddress> addresses(String key) {
        List<SocketAddress> addresses = new ArrayList<>();
        for (String text : texts(key)) {
            parse(key, text).ifPresent(addresses::add);
        }
        return addresses;
    }

    Optional<SocketAddress> address(String key) {
        if (value(key) instanceof String text) {
            return parse(key, text);
        }
        text(key, "");
        return Optional.empty();
    }

    /** The elements of a list, as they are; empty if it is absent or something else. */
    Optional<List<Object>> list(String key) {
        return value(key) instanceof List<?> elements ? Optional.of(List.copyOf(elements)) : Optional.empty();
    }

    /** Every text of this table by its key. */
    Map<String, String> textsByKey() {
        Map<String, String> texts = new LinkedHashMap<>();
        if (table != null) {
            table.valueMap().keySet().forEach(key -> texts.put(key, text(key, "")));
        }
        return texts;
    }

    private Optional<SocketAddress> parse(String key, String text) {
        try {
            return Optional.of(SocketAddress.parse(text));
        } catch (IllegalArgumentException e) {
            fault(key, "is wrong: " + e.getMessage() + "; give an IPv4 address and a port from 1 to 65535");
            return Optional.empty();
        }
    }

    private Object value(String key) {
        return table == null ? null : table.get(List.of(key));
    }
}
