package pinewick.dataplane;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Tells a prefill replica to release the KV cache of a prompt that will not be transferred. Best effort: the KV cache
 * expires there by itself.
 */
final class PrefillHandleRelease implements CallListener {
    private static final double TIMEOUT_MS = 1_000;

    private Timers.Timer timeout;

    private PrefillHandleRelease() {}

    static void send(DataPlaneServices services, PrefillHandle handle) {
        HttpFields.Mutable fields = HttpFields.build();
        fields.put(HttpHeader.HOST, handle.replica().address().toString());
        fields.put(HeaderNames.EXPECTED_INSTANCE, handle.replica().instanceId());
        PrefillHandleRelease listener = new PrefillHandleRelease();
        UpstreamCall call = services.upstream()
                .send(
                        handle.replica(),
                        new UpstreamRequest("DELETE", handle.path(), fields, UpstreamRequest.NO_BODY, null),
                        listener);
        listener.timeout = services.timers().schedule(TIMEOUT_MS, call::abort);
    }

    @Override
    public void onNotSent(NotSent reason) {
        timeout.cancel();
    }

    @Override
    public void onHead(ResponseHead head) {}

    @Override
    public void onContent(ByteBuffer content) {}

    @Override
    public void onComplete() {
        timeout.cancel();
    }

    @Override
    public void onFailure(String reason) {
        timeout.cancel();
    }
}
