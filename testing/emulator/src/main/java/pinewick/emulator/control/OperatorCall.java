package pinewick.emulator.control;

import java.util.Optional;
import pinewick.control.ApiRequest;

/**
 * A request of an operator.
 *
 * @param operation the requested operation
 * @param change the change it carries, null for a read
 * @param api the request as the controller's API receives it
 */
record OperatorCall(Operation operation, SubmittedChange change, ApiRequest api) {
    /** The operations. */
    enum Operation {
        REPLACE,
        UPDATE,
        READ
    }

    private static final byte[] NO_BODY = {};

    static OperatorCall of(SubmittedChange change) {
        Operation operation = change.replacesAll() ? Operation.REPLACE : Operation.UPDATE;
        String path = change.replacesAll() ? "/config/replace" : "/config/update";
        return new OperatorCall(
                operation, change, new ApiRequest(path, "", Optional.of(Long.toString(change.base())), change.body()));
    }

    static OperatorCall read() {
        return new OperatorCall(Operation.READ, null, new ApiRequest("/config/read", "", Optional.empty(), NO_BODY));
    }

    /** The same request with another base version and body. */
    OperatorCall with(Operation newOperation, long base, byte[] body) {
        return new OperatorCall(
                newOperation, change, new ApiRequest(api.path(), "", Optional.of(Long.toString(base)), body));
    }
}
