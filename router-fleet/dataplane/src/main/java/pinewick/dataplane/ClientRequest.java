package pinewick.dataplane;

import org.eclipse.jetty.http.HttpFields;

/**
 * A complete client request.
 *
 * @param id its {@code X-Pinewick-Request-Id}
 * @param method as sent
 * @param target path and query as sent
 * @param fields header fields that are forwarded to a replica
 * @param body the complete body
 */
record ClientRequest(String id, String method, String target, HttpFields fields, byte[] body) {}
