package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Optional;

/**
 * Typed access to the fields of one item. A field of the wrong type is reported as a fault and read as its default;
 * {@code null} counts as absent.
 */
final class ItemFields {
    private static final int MAX_NUMBER_LENGTH = 40;
    /** Any number with at most this many digits fits into an {@code int}. */
    private static final int MAX_SHORT_DIGITS = 9;

    private static final BigDecimal MAX_INT = BigDecimal.valueOf(Integer.MAX_VALUE);
    private static final BigDecimal MAX_LONG = BigDecimal.valueOf(Long.MAX_VALUE);

    private final String item;
    private final JsonObject object;
    private final FaultList faults;

    /** @param item name of the item in faults, for example {@code routes/r-7} */
    ItemFields(String item, JsonObject object, FaultList faults) {
        this.item = item;
        this.object = object;
        this.faults = faults;
    }

    String item() {
        return item;
    }

    void fault(String field, String reason) {
        faults.add(item, field, reason);
    }

    boolean has(String field) {
        JsonElement value = object.get(field);
        return value != null && !value.isJsonNull();
    }

    /** A required, non-empty text; {@code ""} after a fault. */
    String requiredText(String field) {
        if (!has(field)) {
            fault(field, "is missing; give a text");
            return "";
        }
        Optional<String> text = text(field);
        if (text.isPresent() && text.get().isEmpty()) {
            fault(field, "is empty; give a text");
        }
        return text.orElse("");
    }

    /** An optional text; empty if it is absent or after a fault. */
    Optional<String> text(String field) {
        if (!has(field)) {
            return Optional.empty();
        }
        if (object.get(field) instanceof JsonPrimitive value && value.isString()) {
            return Optional.of(value.getAsString());
        }
        fault(field, "is not a text; put it in quotes");
        return Optional.empty();
    }

    boolean flag(String field) {
        if (!has(field)) {
            return false;
        }
        if (object.get(field) instanceof JsonPrimitive value && value.isBoolean()) {
            return value.getAsBoolean();
        }
        fault(field, "is neither true nor false");
        return false;
    }

    /** A number, clamped to {@code min} and the range of {@code int}; fractions are rounded up. */
    int intNumber(String field, int min, int defaultValue) {
        return (int) clampedNumber(field, min, MAX_INT, defaultValue);
    }

    /** Like {@link #intNumber}, in the range of {@code long}. */
    long longNumber(String field, long min, long defaultValue) {
        return clampedNumber(field, min, MAX_LONG, defaultValue);
    }

    private long clampedNumber(String field, long min, BigDecimal max, long defaultValue) {
        int shortValue = shortNumber(object.get(field));
        if (shortValue >= 0) {
            return Math.max(min, shortValue);
        }
        Optional<BigDecimal> number = number(field);
        if (number.isEmpty()) {
            return defaultValue;
        }
        BigDecimal rounded = number.get().setScale(0, RoundingMode.CEILING);
        return rounded.max(BigDecimal.valueOf(min)).min(max).longValue();
    }

    double fraction(String field, double defaultValue) {
        return number(field).map(BigDecimal::doubleValue).orElse(defaultValue);
    }

    /** An optional number; a negative number is a fault. */
    double nonNegativeNumber(String field, double defaultValue) {
        double number = fraction(field, defaultValue);
        if (number < 0) {
            fault(field, "is below 0; give a number from 0 up");
        }
        return number;
    }

    /** An optional number; empty if it is absent or after a fault. {@link #toNumber} limits its size. */
    Optional<BigDecimal> number(String field) {
        if (!has(field)) {
            return Optional.empty();
        }
        Optional<BigDecimal> number = toNumber(object.get(field));
        if (number.isEmpty()) {
            fault(field, "is not a supported number");
        }
        return number;
    }

    /** An optional list; empty if it is absent or after a fault. */
    JsonArray list(String field) {
        if (!has(field)) {
            return new JsonArray();
        }
        if (object.get(field) instanceof JsonArray list) {
            return list;
        }
        fault(field, "is not a list");
        return new JsonArray();
    }

    /** An optional object; empty if it is absent or after a fault. */
    Optional<JsonObject> object(String field) {
        if (!has(field)) {
            return Optional.empty();
        }
        if (object.get(field) instanceof JsonObject inner) {
            return Optional.of(inner);
        }
        fault(field, "is not an object");
        return Optional.empty();
    }

    /** The value of a JSON number; empty for another type, or if the text is too long or the exponent too large. */
    static Optional<BigDecimal> toNumber(JsonElement element) {
        int shortValue = shortNumber(element);
        if (shortValue >= 0) {
            return Optional.of(BigDecimal.valueOf(shortValue));
        }
        if (!(element instanceof JsonPrimitive value) || !value.isNumber()) {
            return Optional.empty();
        }
        String text = value.getAsString();
        if (text.length() > MAX_NUMBER_LENGTH) {
            return Optional.empty();
        }
        try {
            BigDecimal number = new BigDecimal(text);
            // Arithmetic on numbers with an exponent in the thousands is expensive.
            return Math.abs((long) number.scale()) > MAX_NUMBER_LENGTH ? Optional.empty() : Optional.of(number);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Fast path for numbers of at most {@link #MAX_SHORT_DIGITS} digits, as nearly all are; -1 for any other value. */
    private static int shortNumber(JsonElement element) {
        if (!(element instanceof JsonPrimitive value) || !value.isNumber()) {
            return -1;
        }
        String text = value.getAsString();
        if (text.isEmpty() || text.length() > MAX_SHORT_DIGITS) {
            return -1;
        }
        int number = 0;
        for (int index = 0; index < text.length(); index++) {
            int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = number * 10 + digit;
        }
        return number;
    }
}
