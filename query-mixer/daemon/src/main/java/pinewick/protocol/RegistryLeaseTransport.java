package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdJson;
import pinewick.registry.LeaseKeeper;

/** Sends the requests of a lease keeper to the registry and delivers the responses to it. */
public final class RegistryLeaseTransport implements LeaseKeeper.Transport {
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
        send(question, endpoint, EtcdJson.GRANT_PATH, EtcdJson.leaseGrantRequest(seconds));
    }

    @Override
    public void put(long question, int endpoint, long lease) {
        send(question, endpoint, EtcdJson.PUT_PATH, EtcdJson.putRequest(key, value, lease));
    }

    @Override
    public void keepAlive(long question, int endpoint, long lease) {
        send(question, endpoint, EtcdJson.KEEP_ALIVE_PATH, EtcdJson.keepAliveRequest(lease));
    }

    @Override
    public void cancel(long question) {
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
                        EtcdJson.Lease lease = EtcdJson.parseLease(text);
                        keeper.onResponse(loop.now(), question, lease.id(), lease.ttlSeconds());
                    }

                    @Override
                    public void onFailure(String reason) {
                        pendingRequests.remove(question);
                        keeper.onFailure(loop.now(), question);
                    }

                    @Override
                    public void onTooLong() {
                        onFailure("too long");
                    }
                }));
    }
}
