package pinewick.dataplane;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * One request to a replica.
 *
 * @param method as the client sent it
 * @param target path and query as the client sent them
 * @param fields all header fields except {@code Content-Length}
 * @param body the complete body
 * @param expectedId the request id that the response must carry, null if it must carry none
 */
record UpstreamRequest(String method, String target, HttpFields fields, byte[] body, String expectedId) {
    static final byte[] NO_BODY = new byte[0];

    private static final int TYPICAL_HEAD_BYTES = 512;

    /** The request line and the header fields, encoded as sent. */
    ByteBuffer head() {
        StringBuilder head = new StringBuilder(TYPICAL_HEAD_BYTES);
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        for (HttpField field : fields) {
            head.append(field.getName()).append(": ");
            if (field.getValue() != null) {
                head.append(field.getValue());
            }
            head.append("\r\n");
        }
        if (body.length > 0 || mayHaveBody()) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private boolean mayHaveBody() {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }
}
