package pinewick.control;

import java.util.Optional;

/**
 * A request to the HTTP API with its complete body.
 *
 * @param path the path as received, including the query if present
 * @param instanceId the instance id in the path, empty if there is none
 * @param baseVersion value of the header {@code X-Pinewick-Base-Version}, if present
 * @param body the request body, empty if there is none
 */
public record ApiRequest(String path, String instanceId, Optional<String> baseVersion, byte[] body) {}
