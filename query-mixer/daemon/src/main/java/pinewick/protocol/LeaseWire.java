package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import pinewick.loop.Loop;
import pinewick.registry.EtcdText;
import pinewick.registry.LeaseKeeper;

/** Puts a lease keeper's questions to the registry and brings it the answers. */
public final class LeaseWire implements LeaseKeeper.Wire {
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
        open.put(question, calls.ask(endpoint, path, body, false, new RegistryCalls.Asker() {
            @Override
            public void line(String text) {
                open.remove(question);
                EtcdText.Lease lease = EtcdText.lease(text);
                keeper.answered(loop.now(), question, lease.id(), lease.left());
            }

            @Override
            public void failed(String why) {
                open.remove(question);
                keeper.failed(loop.now(), question);
            }

            @Override
            public void tooLong() {
                failed("too long");
            }
        }));
    }
}
