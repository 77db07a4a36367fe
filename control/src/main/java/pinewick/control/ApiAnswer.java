package pinewick.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import pinewick.model.ConfigurationFault;
import pinewick.model.SocketAddress;

/**
 * The answer to a call of the HTTP API.
 *
 * @param status the HTTP status
 * @param location where a redirection leads to
 * @param body JSON
 */
public record ApiAnswer(int status, Optional<String> location, byte[] body) {
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    /** 200 with an empty object. */
    static ApiAnswer ok() {
        return ok(EMPTY_OBJECT);
    }

    /** 200 with a body. */
    static ApiAnswer ok(byte[] json) {
        return new ApiAnswer(HttpStatus.OK_200, Optional.empty(), json);
    }

    /** An error with its reason. */
    static ApiAnswer error(int status, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty("error", reason);
        return withJson(status, body);
    }

    /** The call may be sent again, to another controller. */
    static ApiAnswer unavailable(String reason) {
        return error(HttpStatus.SERVICE_UNAVAILABLE_503, reason);
    }

    /** 400 that names one field. */
    static ApiAnswer badField(String field, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty("error", reason);
        body.addProperty("field", field);
        return withJson(HttpStatus.BAD_REQUEST_400, body);
    }

    /** 400 that lists every fault of a configuration. */
    static ApiAnswer invalid(List<ConfigurationFault> faults) {
        JsonArray list = new JsonArray(faults.size());
        for (ConfigurationFault fault : faults) {
            JsonObject entry = new JsonObject();
            entry.addProperty("item", fault.item());
            entry.addProperty("field", fault.field());
            entry.addProperty("reason", fault.reason());
            list.add(entry);
        }
        JsonObject body = new JsonObject();
        body.addProperty("error", "invalid configuration");
        body.add("faults", list);
        return withJson(HttpStatus.BAD_REQUEST_400, body);
    }

    /** 307 to the same path at another controller. */
    static ApiAnswer redirect(SocketAddress target, String path) {
        String location = "http://" + target + path;
        return new ApiAnswer(HttpStatus.TEMPORARY_REDIRECT_307, Optional.of(location), new byte[0]);
    }

    /** Any status with a JSON object. */
    static ApiAnswer withJson(int status, JsonObject body) {
        return new ApiAnswer(status, Optional.empty(), body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
