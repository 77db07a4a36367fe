package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdText;
import pinewick.registry.LeaseKeeper;

/** Sends the requests of a lease keeper to the registry and delivers the responses to it. */
public final class RegistryLeaseTransport implements LeaseKeeper.Wire {
    private final EventLoop loop;
    private final RegistryHttpClient client;
    private final String key;
    private final String value;
    private final Map<Long, Runnable> pendingRequests = new LinkedHashMap<>();
    private LeaseKeeper keeper;

    /** @param key stored together with {@code value} under the lease */
    public RegistryLeaseTransport(EventLoop loop, RegistryHttpClient client, String key, String value) {
        this.loop = loop;
        this.client = client;
        this.key = key;
        this.value = value;
    }

    public void start(LeaseKeeper leaseKeeper) {
        keeper = leaseKeeper;
        keeper.start(loop.now());
    }

    @Override
    public void grant(long question, int endpoint, double seconds) {
        send(question, endpoint, EtcdText.GRANT, EtcdText.grant(seconds));
    }

    @Override
    public void put(long question, int endpoint, long lease) {
        send(question, endpoint, EtcdText.PUT, EtcdText.put(key, value, lease));
    }

    @Override
    public void renew(long question, int endpoint, long lease) {
        send(question, endpoint, EtcdText.RENEW, EtcdText.renew(lease));
    }

    @Override
    public void drop(long question) {
        Runnable cancel = pendingRequests.remove(question);
        if (cancel != null) {
            cancel.run();
        }
    }

    private void send(long question, int endpoint, String path, String body) {
        pendingRequests.put(
                question, client.post(endpoint, path, body, false, new RegistryHttpClient.ResponseHandler() {
                    @Override
                    public void onLine(String text) {
                        pendingRequests.remove(question);
                        EtcdText.Lease lease = EtcdText.lease(text);
                        keeper.answered(loop.now(), question, lease.id(), lease.left());
                    }

                    @Override
                    public void onFailure(String reason) {
                        pendingRequests.remove(question);
                        keeper.failed(loop.now(), question);
                    }

                    @Override
                    public void onTooLong() {
                        onFailure("too long");
                    }
                }));
    }
}
