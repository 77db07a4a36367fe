package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdText;
import pinewick.registry.LeaseKeeper;

/** Puts a lease keeper's questions to the registry and brings it the answers. */
public final class RegistryLeaseTransport implements LeaseKeeper.Wire {
    private final EventLoop loop;
    private final RegistryHttpClient client;
    private final String key;
    private final String value;
    private final Map<Long, Runnable> open = new LinkedHashMap<>();
    private LeaseKeeper keeper;

    /** @param key and its {@code value}, kept under the lease */
    public RegistryLeaseTransport(EventLoop loop, RegistryHttpClient client, String key, String value) {
        this.loop = loop;
        this.client = client;
        this.key = key;
        this.value = value;
    }

    public void start(LeaseKeeper by) {
        keeper = by;
        keeper.start(loop.now());
    }

    @Override
    public void grant(long question, int endpoint, double seconds) {
        ask(question, endpoint, EtcdText.GRANT, EtcdText.grant(seconds));
    }

    @Override
    public void put(long question, int endpoint, long lease) {
        ask(question, endpoint, EtcdText.PUT, EtcdText.put(key, value, lease));
    }

    @Override
    public void renew(long question, int endpoint, long lease) {
        ask(question, endpoint, EtcdText.RENEW, EtcdText.renew(lease));
    }

    @Override
    public void drop(long question) {
        Runnable dropped = open.remove(question);
        if (dropped != null) {
            dropped.run();
        }
    }

    private void ask(long question, int endpoint, String path, String body) {
        open.put(question, client.post(endpoint, path, body, false, new RegistryHttpClient.ResponseHandler() {
            @Override
            public void onLine(String text) {
                open.remove(question);
                EtcdText.Lease lease = EtcdText.lease(text);
                keeper.answered(loop.now(), question, lease.id(), lease.left());
            }

            @Override
            public void onFailure(String why) {
                open.remove(question);
                keeper.failed(loop.now(), question);
            }

            @Override
            public void onTooLong() {
                onFailure("too long");
            }
        }));
    }
}
