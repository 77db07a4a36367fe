package pinewick.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Optional;

/**
 * Typed access to the fields of one item. A field of the wrong type becomes a fault and reads as its default; {@code
 * null} counts as absent.
 */
final class ItemFields {
    private static final int MAX_NUMBER_LENGTH = 40;
    /** Digits that always fit into an {@code int}. */
    private static final int MAX_PLAIN_DIGITS = 9;

    private static final BigDecimal MAX_INT = BigDecimal.valueOf(Integer.MAX_VALUE);
    private static final BigDecimal MAX_LONG = BigDecimal.valueOf(Long.MAX_VALUE);

    private final String item;
    private final JsonObject object;
    private final FaultList faults;

    /** @param item how faults name the item, for example {@code routes/r-7} */
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

    /** A required text that must not be empty; {@code ""} after a fault. */
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

    /** A text that may be absent. */
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
        int plain = plainNumber(object.get(field));
        if (plain >= 0) {
            return Math.max(min, plain);
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

    /** A number that may be absent; a negative one is a fault. */
    double numberFromZero(String field, double defaultValue) {
        double number = fraction(field, defaultValue);
        if (number < 0) {
            fault(field, "is below 0; give a number from 0 up");
        }
        return number;
    }

    /** A number of any size; a fault if the field has another type. */
    Optional<BigDecimal> number(String field) {
        if (!has(field)) {
            return Optional.empty();
        }
        Optional<BigDecimal> number = toNumber(object.get(field));
        if (number.isEmpty()) {
            fault(field, "is not a number within reason");
        }
        return number;
    }

    /** A list; empty if it is absent or after a fault. */
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

    /** An object that may be absent. */
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

    /** The value of a JSON number; empty for another type or an excessively long text. */
    static Optional<BigDecimal> toNumber(JsonElement element) {
        int plain = plainNumber(element);
        if (plain >= 0) {
            return Optional.of(BigDecimal.valueOf(plain));
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
            // An exponent in the thousands would make arithmetic on it expensive.
            return Math.abs((long) number.scale()) > MAX_NUMBER_LENGTH ? Optional.empty() : Optional.of(number);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** The number if it is written in a few digits only, as nearly all are; -1 for any other value. */
    private static int plainNumber(JsonElement element) {
        if (!(element instanceof JsonPrimitive value) || !value.isNumber()) {
            return -1;
        }
        String text = value.getAsString();
        if (text.isEmpty() || text.length() > MAX_PLAIN_DIGITS) {
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
