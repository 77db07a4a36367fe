package pinewick.control;

/**
 * One call of the HTTP API, its body read whole.
 *
 * @param path the path as it came, with the query if there was one
 * @param subject the instance id in the path, or an empty text
 * @param baseVersion the header {@code X-Pinewick-Base-Version}, or null
 * @param body the body, empty if there was none
 */
public record ApiCall(String path, String subject, String baseVersion, byte[] body) {}
