package pinewick.emulator.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import pinewick.control.ApiResponse;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;

/** Mutations between the operator and the controller. */
final class ApiMutations {
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    private ApiMutations() {}

    private static ApiResponse status(int status) {
        return new ApiResponse(status, Optional.empty(), EMPTY_OBJECT);
    }

    /** The configuration in the memory of a process that considers itself primary. */
    private static Optional<ConfigurationDocument> inMemory(ControllerProcess controller) {
        ConfigurationDocument document = controller.state().configuration();
        return controller.isPrimary() && document.version() > 0 ? Optional.of(document) : Optional.empty();
    }

    private static ApiResponse redirect(String api, OperatorCall call) {
        return new ApiResponse(307, Optional.of("http://" + api + call.api().path()), EMPTY_OBJECT);
    }

    /** Responds with 412 based on the configuration in memory. */
    static final class RejectsFromMemory extends Mutation {
        @Override
        Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(current -> call.change() != null && call.change().base() > current.version())
                    .map(current -> status(412));
        }
    }

    /** Responds to reads from memory. */
    static final class ReadsFromMemory extends Mutation {
        @Override
        Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(current -> call.operation() == OperatorCall.Operation.READ)
                    .map(current -> new ApiResponse(200, Optional.empty(), ConfigurationChecks.toJson(current)));
        }
    }

    /** Responds with 400 based on the configuration in memory, whether or not it is current. */
    static final class ValidatesAgainstMemory extends Mutation {
        @Override
        Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(current -> call.operation() == OperatorCall.Operation.UPDATE)
                    .filter(current -> isInvalid(current, call.change()))
                    .map(current -> status(400));
        }

        private static boolean isInvalid(ConfigurationDocument current, SubmittedChange change) {
            try {
                ConfigurationChecks.parseUpdate(current, change.body());
                return false;
            } catch (InvalidConfigurationException e) {
                return true;
            }
        }
    }

    /** Checks the version before recognising a resent change. */
    static final class ChecksVersionFirst extends Mutation {
        @Override
        Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(current -> call.change() != null && call.change().version() <= current.version())
                    .map(current -> status(400));
        }
    }

    /** Repeats the last redirect when no primary is known. */
    static final class CachesRedirects extends Mutation {
        private final Map<ControllerMachine, String> lastRedirects = new java.util.HashMap<>();

        @Override
        ApiResponse onResponse(ControllerProcess controller, OperatorCall call, ApiResponse response) {
            if (response.status() == 307) {
                String remainder = response.location().orElseThrow().substring("http://".length());
                lastRedirects.put(controller.machine(), remainder.substring(0, remainder.indexOf('/')));
            }
            String cached = lastRedirects.get(controller.machine());
            return response.status() == 503 && cached != null ? redirect(cached, call) : response;
        }
    }

    /** Redirects to another controller, which does the same, when no primary is known. */
    static final class RedirectsToPeer extends Mutation {
        @Override
        ApiResponse onResponse(ControllerProcess controller, OperatorCall call, ApiResponse response) {
            int own = controller.machine().number();
            String peer = ControllerMachine.apiOf(own == 1 ? 2 : own - 1).toString();
            return response.status() == 503 ? redirect(peer, call) : response;
        }
    }

    /** Applies a change of an older version to the current one. */
    static final class Rebases extends Mutation {
        @Override
        OperatorCall onCall(ControllerProcess controller, OperatorCall call) {
            boolean isChange = call.change() != null;
            return inMemory(controller)
                    .filter(current -> isChange && call.change().base() < current.version())
                    .map(current -> call.with(
                            call.operation(), current.version(), call.api().body()))
                    .orElse(call);
        }
    }

    /** Treats changed items as the full configuration. */
    static final class ReplacesInsteadOfUpdating extends Mutation {
        @Override
        OperatorCall onCall(ControllerProcess controller, OperatorCall call) {
            if (call.operation() != OperatorCall.Operation.UPDATE) {
                return call;
            }
            JsonObject body = JsonParser.parseString(new String(call.api().body(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            JsonObject upserts = body.remove("upserts").getAsJsonObject();
            upserts.entrySet().forEach(section -> body.add(section.getKey(), section.getValue()));
            byte[] document = body.toString().getBytes(StandardCharsets.UTF_8);
            return call.with(OperatorCall.Operation.REPLACE, call.change().base(), document);
        }
    }

    /** Recognises a resent change by its version alone. */
    static final class ComparesVersionsOnly extends Mutation {
        @Override
        Optional<ApiResponse> overrideResponse(ControllerProcess controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(current -> call.change() != null && call.change().version() == current.version())
                    .map(current -> status(200));
        }
    }

    /** Gives a definite response when the outcome is unknown. */
    static final class AnswersUnknownOutcomes extends Mutation {
        private final int status;

        AnswersUnknownOutcomes(int status) {
            this.status = status;
        }

        @Override
        ApiResponse onResponse(ControllerProcess controller, OperatorCall call, ApiResponse response) {
            boolean isUnknown = response.status() == 503 && call.change() != null;
            return isUnknown ? status(status) : response;
        }
    }
}
