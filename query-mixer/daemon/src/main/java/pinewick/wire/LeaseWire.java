package pinewick.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.Loop;
import pinewick.registry.EtcdJson;
import pinewick.registry.LeaseKeeper;

/** Puts a lease keeper's questions to the registry and brings it the answers. */
public final class LeaseWire implements LeaseKeeper.Transport {
    private final Loop loop;
    private final RegistryCalls calls;
    private final String key;
    private final String value;
    private final Map<Long, Runnable> open = new LinkedHashMap<>();
    private LeaseKeeper keeper;

    /** @param key and its {@code value}, kept under the lease */
    public LeaseWire(Loop loop, RegistryCalls calls, String key, String value) {
        this.loop = loop;
        this.calls = calls;
        this.key = key;
        this.value = value;
    }

    public void keeps(LeaseKeeper by) {
        keeper = by;
        keeper.start(loop.now());
    }

    @Override
    public void grant(long question, int endpoint, double seconds) {
        ask(question, endpoint, EtcdJson.GRANT_PATH, EtcdJson.leaseGrantRequest(seconds));
    }

    @Override
    public void put(long question, int endpoint, long lease) {
        ask(question, endpoint, EtcdJson.PUT_PATH, EtcdJson.putRequest(key, value, lease));
    }

    @Override
    public void keepAlive(long question, int endpoint, long lease) {
        ask(question, endpoint, EtcdJson.KEEP_ALIVE_PATH, EtcdJson.keepAliveRequest(lease));
    }

    @Override
    public void cancel(long question) {
        Runnable dropped = open.remove(question);
        if (dropped != null) {
            dropped.run();
        }
    }

    private void ask(long question, int endpoint, String path, String body) {
        open.put(question, calls.ask(endpoint, path, body, false, new RegistryCalls.Asker() {
            @Override
            public void line(String text) {
                open.remove(question);
                EtcdJson.Lease lease = EtcdJson.parseLease(text);
                keeper.onResponse(loop.now(), question, lease.id(), lease.ttlSeconds());
            }

            @Override
            public void failed(String why) {
                open.remove(question);
                keeper.onFailure(loop.now(), question);
            }

            @Override
            public void tooLong() {
                failed("too long");
            }
        }));
    }
}
