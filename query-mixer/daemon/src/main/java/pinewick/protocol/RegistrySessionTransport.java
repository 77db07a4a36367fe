package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdJson;
import pinewick.registry.PrefixWatcher;
import pinewick.registry.ViewUpdate;

/** Sends the requests of a registry session and delivers the responses to it. */
public final class RegistrySessionTransport implements PrefixWatcher.Transport {
    private final EventLoop loop;
    private final RegistryHttpClient client;
    private final String prefix;
    private final Consumer<ViewUpdate> steps;
    private final Consumer<String> log;
    private final Map<Long, Runnable> pendingRequests = new LinkedHashMap<>();
    private PrefixWatcher session;

    public RegistrySessionTransport(
            EventLoop loop,
            RegistryHttpClient client,
            String prefix,
            Consumer<ViewUpdate> steps,
            Consumer<String> log) {
        this.loop = loop;
        this.client = client;
        this.prefix = prefix;
        this.steps = steps;
        this.log = log;
    }

    /** Starts the session; calling {@link PrefixWatcher#tick} remains up to the caller. */
    public void start(PrefixWatcher registrySession) {
        session = registrySession;
        session.start(loop.now());
    }

    @Override
    public void range(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        send(
                question,
                endpoint,
                EtcdJson.RANGE_PATH,
                EtcdJson.rangeRequest(from, prefix, atRevision, limit, keysOnly),
                false);
    }

    @Override
    public void probe(long question, int endpoint) {
        send(question, endpoint, EtcdJson.RANGE_PATH, EtcdJson.probeRequest(prefix), false);
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        send(question, endpoint, EtcdJson.WATCH_PATH, EtcdJson.watchRequest(prefix, fromRevision), true);
    }

    @Override
    public void cancel(long question) {
        Runnable cancel = pendingRequests.remove(question);
        if (cancel != null) {
            cancel.run();
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

    private void send(long question, int endpoint, String path, String body, boolean stream) {
        pendingRequests.put(
                question, client.post(endpoint, path, body, stream, new RegistryHttpClient.ResponseHandler() {
                    @Override
                    public void onLine(String text) {
                        if (!stream) {
                            pendingRequests.remove(question);
                        }
                        session.onResponse(loop.now(), question, EtcdJson.parseResponse(text));
                    }

                    @Override
                    public void onFailure(String reason) {
                        pendingRequests.remove(question);
                        session.onFailure(loop.now(), question, reason);
                    }

                    @Override
                    public void onTooLong() {
                        pendingRequests.remove(question);
                        session.onResponseTooLarge(loop.now(), question);
                    }
                }));
    }
}
