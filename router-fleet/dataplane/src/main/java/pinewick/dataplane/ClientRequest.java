package pinewick.dataplane;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A complete client request.
 *
 * @param id its {@code X-Pinewick-Request-Id}
 * @param method the method as sent
 * @param target path and query as sent
 * @param fields header fields that are forwarded to a replica
 * @param body the complete body
 */
record ClientRequest(String id, String method, String target, HttpFields fields, byte[] body) {
    /**
     * This request as it is forwarded to replicas if tenants have keys: without the key, and with the authenticated
     * tenant's name instead of one that the client may have sent.
     */
    ClientRequest forTenant(Optional<String> tenant) {
        HttpFields.Mutable forwarded = HttpFields.build(fields);
        forwarded.remove(HeaderNames.AUTHORIZATION);
        forwarded.remove(HeaderNames.TENANT);
        tenant.ifPresent(name -> forwarded.add(HeaderNames.TENANT, name));
        return new ClientRequest(id, method, target, forwarded, body);
    }
}
