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

/** Broken variants between the operator and the controller. */
final class ApiSabotage {
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    private ApiSabotage() {}

    private static ApiResponse status(int status) {
        return new ApiResponse(status, Optional.empty(), EMPTY_OBJECT);
    }

    /** The configuration as a primary holds it in memory, if it takes itself for the primary. */
    private static Optional<ConfigurationDocument> inMemory(ControllerLife controller) {
        ConfigurationDocument document = controller.state().configuration();
        return controller.leads() && document.version() > 0 ? Optional.of(document) : Optional.empty();
    }

    private static ApiResponse redirect(String api, OperatorCall call) {
        return new ApiResponse(307, Optional.of("http://" + api + call.api().path()), EMPTY_OBJECT);
    }

    /** 412 is answered from memory. */
    static final class RefusesFromMemory extends Sabotage {
        @Override
        Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(held -> call.change() != null && call.change().base() > held.version())
                    .map(held -> status(412));
        }
    }

    /** Reads are answered from memory. */
    static final class ReadsFromMemory extends Sabotage {
        @Override
        Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(held -> call.operation() == OperatorCall.Operation.READ)
                    .map(held -> new ApiResponse(200, Optional.empty(), ConfigurationChecks.toJson(held)));
        }
    }

    /** 400 is answered by what is in memory, current or not. */
    static final class JudgesByMemory extends Sabotage {
        @Override
        Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(held -> call.operation() == OperatorCall.Operation.UPDATE)
                    .filter(held -> isInvalid(held, call.change()))
                    .map(held -> status(400));
        }

        private static boolean isInvalid(ConfigurationDocument held, ChangeOrder change) {
            try {
                ConfigurationChecks.parseUpdate(held, change.body());
                return false;
            } catch (InvalidConfigurationException e) {
                return true;
            }
        }
    }

    /** The version is judged before the change is known again. */
    static final class JudgesVersionFirst extends Sabotage {
        @Override
        Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(held -> call.change() != null && call.change().version() <= held.version())
                    .map(held -> status(400));
        }
    }

    /** Where no primary is known, the last redirection is given again. */
    static final class KeepsRedirections extends Sabotage {
        private final Map<ControllerMachine, String> last = new java.util.HashMap<>();

        @Override
        ApiResponse answered(ControllerLife controller, OperatorCall call, ApiResponse answer) {
            if (answer.status() == 307) {
                String rest = answer.location().orElseThrow().substring("http://".length());
                last.put(controller.machine(), rest.substring(0, rest.indexOf('/')));
            }
            String kept = last.get(controller.machine());
            return answer.status() == 503 && kept != null ? redirect(kept, call) : answer;
        }
    }

    /** Where no primary is known, the caller is sent to another controller, which does the same. */
    static final class RedirectsToNeighbour extends Sabotage {
        @Override
        ApiResponse answered(ControllerLife controller, OperatorCall call, ApiResponse answer) {
            int own = controller.machine().number();
            String neighbour = ControllerMachine.apiOf(own == 1 ? 2 : own - 1).toString();
            return answer.status() == 503 ? redirect(neighbour, call) : answer;
        }
    }

    /** A change upon an older version is put upon the current one. */
    static final class Rebases extends Sabotage {
        @Override
        OperatorCall called(ControllerLife controller, OperatorCall call) {
            boolean change = call.change() != null;
            return inMemory(controller)
                    .filter(held -> change && call.change().base() < held.version())
                    .map(held -> call.with(
                            call.operation(), held.version(), call.api().body()))
                    .orElse(call);
        }
    }

    /** Changed items are taken for the whole configuration. */
    static final class ReplacesInsteadOfUpdating extends Sabotage {
        @Override
        OperatorCall called(ControllerLife controller, OperatorCall call) {
            if (call.operation() != OperatorCall.Operation.UPDATE) {
                return call;
            }
            JsonObject body = JsonParser.parseString(new String(call.api().body(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            JsonObject upserts = body.remove("upserts").getAsJsonObject();
            upserts.entrySet().forEach(section -> body.add(section.getKey(), section.getValue()));
            byte[] whole = body.toString().getBytes(StandardCharsets.UTF_8);
            return call.with(OperatorCall.Operation.REPLACE, call.change().base(), whole);
        }
    }

    /** A change is known again by its version alone. */
    static final class ComparesVersionsOnly extends Sabotage {
        @Override
        Optional<ApiResponse> answerInstead(ControllerLife controller, OperatorCall call) {
            return inMemory(controller)
                    .filter(held -> call.change() != null && call.change().version() == held.version())
                    .map(held -> status(200));
        }
    }

    /** What is not decided in time gets one clear answer or the other. */
    static final class AnswersTheUndecided extends Sabotage {
        private final int status;

        AnswersTheUndecided(int status) {
            this.status = status;
        }

        @Override
        ApiResponse answered(ControllerLife controller, OperatorCall call, ApiResponse answer) {
            boolean undecided = answer.status() == 503 && call.change() != null;
            return undecided ? status(status) : answer;
        }
    }
}
