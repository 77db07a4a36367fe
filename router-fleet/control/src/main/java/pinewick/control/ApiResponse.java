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
 * A response of the HTTP API.
 *
 * @param status the HTTP status code
 * @param location the target of a redirect, empty otherwise
 * @param body the JSON body, empty for a redirect
 */
public record ApiResponse(int status, Optional<String> location, byte[] body) {
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    /** 200 with an empty JSON object. */
    static ApiResponse ok() {
        return ok(EMPTY_OBJECT);
    }

    /** 200 with a JSON body. */
    static ApiResponse ok(byte[] json) {
        return new ApiResponse(HttpStatus.OK_200, Optional.empty(), json);
    }

    /** An error response with its reason. */
    static ApiResponse error(int status, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty("error", reason);
        return withJson(status, body);
    }

    /** 503: the client may send the request again, to another controller. */
    static ApiResponse unavailable(String reason) {
        return error(HttpStatus.SERVICE_UNAVAILABLE_503, reason);
    }

    /** 400 for one invalid field. */
    static ApiResponse badField(String field, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty("error", reason);
        body.addProperty("field", field);
        return withJson(HttpStatus.BAD_REQUEST_400, body);
    }

    /** 400 with all faults of an invalid configuration. */
    static ApiResponse invalid(List<ConfigurationFault> faults) {
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

    /** 307 redirect to the same path at another controller. */
    static ApiResponse redirect(SocketAddress target, String path) {
        String location = "http://" + target + path;
        return new ApiResponse(HttpStatus.TEMPORARY_REDIRECT_307, Optional.of(location), new byte[0]);
    }

    /** A response with any status and a JSON object as its body. */
    static ApiResponse withJson(int status, JsonObject body) {
        return new ApiResponse(status, Optional.empty(), body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
