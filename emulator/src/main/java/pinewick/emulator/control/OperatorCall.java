package pinewick.emulator.control;

import java.util.Optional;

import pinewick.control.ApiRequest;

/**
 * A call of an operator.
 *
 * @param operation what it asks for
 * @param change the change it carries, null for a read
 * @param api the call as the controller's API takes it
 */
record OperatorCall(Operation operation, ChangeOrder change, ApiRequest api) {
    /** The operator's calls. */
    enum Operation {
        REPLACE,
        UPDATE,
        READ
    }

    private static final byte[] NO_BODY = {};

    static OperatorCall of(ChangeOrder change) {
        Operation operation = change.whole() ? Operation.REPLACE : Operation.UPDATE;
        String path = change.whole() ? "/config/replace" : "/config/update";
        return new OperatorCall(operation, change, new ApiRequest(path, "", Optional.of(Long.toString(change.base())), change.body()));
    }

    static OperatorCall read() {
        return new OperatorCall(Operation.READ, null, new ApiRequest("/config/read", "", Optional.empty(), NO_BODY));
    }

    /** The same call with another base version and body. */
    OperatorCall with(Operation other, long base, byte[] body) {
        return new OperatorCall(other, change, new ApiRequest(api.path(), "", Optional.of(Long.toString(base)), body));
    }
}
