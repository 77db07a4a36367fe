package pinewick.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.loop.Loop;
import pinewick.registry.EtcdJson;
import pinewick.registry.PrefixWatcher;
import pinewick.registry.ViewUpdate;

/** Puts a session's questions to the registry and brings it the answers. */
public final class RegistryWire implements PrefixWatcher.Transport {
    private final Loop loop;
    private final RegistryCalls calls;
    private final String prefix;
    private final Consumer<ViewUpdate> steps;
    private final Consumer<String> log;
    private final Map<Long, Runnable> open = new LinkedHashMap<>();
    private PrefixWatcher session;

    public RegistryWire(
            Loop loop, RegistryCalls calls, String prefix, Consumer<ViewUpdate> steps, Consumer<String> log) {
        this.loop = loop;
        this.calls = calls;
        this.prefix = prefix;
        this.steps = steps;
        this.log = log;
    }

    /** Starts to follow; {@link PrefixWatcher#tick} stays the caller's. */
    public void follow(PrefixWatcher by) {
        session = by;
        session.start(loop.now());
    }

    @Override
    public void range(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        ask(
                question,
                endpoint,
                EtcdJson.RANGE_PATH,
                EtcdJson.rangeRequest(from, prefix, atRevision, limit, keysOnly),
                false);
    }

    @Override
    public void probe(long question, int endpoint) {
        ask(question, endpoint, EtcdJson.RANGE_PATH, EtcdJson.probeRequest(prefix), false);
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        ask(question, endpoint, EtcdJson.WATCH_PATH, EtcdJson.watchRequest(prefix, fromRevision), true);
    }

    @Override
    public void cancel(long question) {
        Runnable dropped = open.remove(question);
        if (dropped != null) {
            dropped.run();
        }
    }

    @Override
    public void onUpdate(ViewUpdate step) {
        steps.accept(step);
    }

    @Override
    public void log(String text) {
        log.accept("registry: " + text);
    }

    private void ask(long question, int endpoint, String path, String body, boolean stream) {
        open.put(question, calls.ask(endpoint, path, body, stream, new RegistryCalls.Asker() {
            @Override
            public void line(String text) {
                if (!stream) {
                    open.remove(question);
                }
                session.onResponse(loop.now(), question, EtcdJson.parseResponse(text));
            }

            @Override
            public void failed(String why) {
                open.remove(question);
                session.onFailure(loop.now(), question, why);
            }

            @Override
            public void tooLong() {
                open.remove(question);
                session.onResponseTooLarge(loop.now(), question);
            }
        }));
    }
}
