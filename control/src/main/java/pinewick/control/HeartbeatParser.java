package pinewick.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;

/**
 * Reads the body of a heartbeat. Strict about what routing depends on (service, address, slots, state, call sequence);
 * what a replica may leave out has a default, and fields that are not known are ignored.
 */
final class HeartbeatParser {
    private static final int LONGEST_TEXT = 200;

    private final JsonObject body;

    private HeartbeatParser(JsonObject body) {
        this.body = body;
    }

    /**
     * Reads a heartbeat of the instance {@code instanceId}.
     *
     * @throws InvalidHeartbeatException with the first field that is wrong
     */
    static ReplicaRecord parse(String instanceId, byte[] body) throws InvalidHeartbeatException {
        return new HeartbeatParser(readObject(body)).toRecord(instanceId);
    }

    private static JsonObject readObject(byte[] body) throws InvalidHeartbeatException {
        JsonElement root;
        try {
            root = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
        } catch (JsonParseException | NumberFormatException e) {
            throw new InvalidHeartbeatException("body", "is not JSON");
        }
        if (!root.isJsonObject()) {
            throw new InvalidHeartbeatException("body", "is not a JSON object");
        }
        return root.getAsJsonObject();
    }

    private ReplicaRecord toRecord(String instanceId) throws InvalidHeartbeatException {
        return new ReplicaRecord(
                instanceId,
                requiredText("service"),
                address(),
                optionalText("zone"),
                optionalText("version"),
                (int) requiredNumber("slots", 1, Integer.MAX_VALUE),
                state(),
                (int) optionalNumber("cold_remaining_ms", 0, Integer.MAX_VALUE),
                stage(),
                models(),
                requiredNumber("call_sequence", 0, Long.MAX_VALUE),
                false);
    }

    private SocketAddress address() throws InvalidHeartbeatException {
        SocketAddress address;
        try {
            address = SocketAddress.parse(requiredText("address"));
        } catch (IllegalArgumentException e) {
            throw new InvalidHeartbeatException("address", e.getMessage());
        }
        if (!Ipv4.isLiteral(address.host())) {
            throw new InvalidHeartbeatException("address", "'" + address.host() + "' is not an IPv4 address");
        }
        return address;
    }

    private ReplicaState state() throws InvalidHeartbeatException {
        String name = requiredText("state");
        switch (name) {
            case "ready":
                return ReplicaState.READY;
            case "draining":
                return ReplicaState.DRAINING;
            default:
                throw new InvalidHeartbeatException("state", "'" + name + "' is neither ready nor draining");
        }
    }

    private Stage stage() throws InvalidHeartbeatException {
        String name = optionalText("stage");
        return Stage.parse(name)
                .orElseThrow(() -> new InvalidHeartbeatException("stage", "'" + name + "' is no stage"));
    }

    private List<ReplicaRecord.ModelVersion> models() throws InvalidHeartbeatException {
        JsonElement models = present("models");
        if (models == null) {
            return List.of();
        }
        if (!models.isJsonArray()) {
            throw new InvalidHeartbeatException("models", "is not a list");
        }
        return modelList(models.getAsJsonArray());
    }

    private static List<ReplicaRecord.ModelVersion> modelList(JsonArray models) throws InvalidHeartbeatException {
        List<ReplicaRecord.ModelVersion> versions = new ArrayList<>(models.size());
        for (JsonElement model : models) {
            if (!model.isJsonObject()) {
                throw new InvalidHeartbeatException("models", "holds something that is not an object");
            }
            HeartbeatParser fields = new HeartbeatParser(model.getAsJsonObject());
            String name = fields.requiredText("name");
            int version = (int) fields.optionalNumber("version", 0, Integer.MAX_VALUE);
            versions.add(new ReplicaRecord.ModelVersion(name, version));
        }
        return versions;
    }

    private String requiredText(String field) throws InvalidHeartbeatException {
        String text = optionalText(field);
        if (text.isEmpty()) {
            throw new InvalidHeartbeatException(field, "is missing");
        }
        return text;
    }

    private String optionalText(String field) throws InvalidHeartbeatException {
        JsonElement value = present(field);
        if (value == null) {
            return "";
        }
        if (!(value instanceof JsonPrimitive primitive) || !primitive.isString()) {
            throw new InvalidHeartbeatException(field, "is not a text");
        }
        String text = primitive.getAsString();
        if (text.length() > LONGEST_TEXT) {
            throw new InvalidHeartbeatException(field, "is longer than " + LONGEST_TEXT + " characters");
        }
        return text;
    }

    private long requiredNumber(String field, long least, long most) throws InvalidHeartbeatException {
        if (present(field) == null) {
            throw new InvalidHeartbeatException(field, "is missing");
        }
        return optionalNumber(field, least, most);
    }

    /** A whole number, fractions cut off; 0 if absent. */
    private long optionalNumber(String field, long least, long most) throws InvalidHeartbeatException {
        JsonElement value = present(field);
        if (value == null) {
            return 0;
        }
        if (!(value instanceof JsonPrimitive primitive) || !primitive.isNumber()) {
            throw new InvalidHeartbeatException(field, "is not a number");
        }
        BigDecimal number;
        try {
            number = primitive.getAsBigDecimal();
        } catch (NumberFormatException e) {
            throw new InvalidHeartbeatException(field, "is not a number");
        }
        if (number.compareTo(BigDecimal.valueOf(least)) < 0 || number.compareTo(BigDecimal.valueOf(most)) > 0) {
            throw new InvalidHeartbeatException(field, "is not between " + least + " and " + most);
        }
        return number.longValue();
    }

    private JsonElement present(String field) {
        JsonElement value = body.get(field);
        return value == null || value.isJsonNull() ? null : value;
    }
}
