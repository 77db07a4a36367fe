package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdText;
import pinewick.registry.RegistrySession;
import pinewick.registry.Step;

/** Sends the requests of a registry session and delivers the responses to it. */
public final class RegistrySessionTransport implements RegistrySession.Wire {
    private final EventLoop loop;
    private final RegistryHttpClient client;
    private final String prefix;
    private final Consumer<Step> steps;
    private final Consumer<String> log;
    private final Map<Long, Runnable> pendingRequests = new LinkedHashMap<>();
    private RegistrySession session;

    public RegistrySessionTransport(
            EventLoop loop, RegistryHttpClient client, String prefix, Consumer<Step> steps, Consumer<String> log) {
        this.loop = loop;
        this.client = client;
        this.prefix = prefix;
        this.steps = steps;
        this.log = log;
    }

    /** Starts the session; calling {@link RegistrySession#tick} remains up to the caller. */
    public void start(RegistrySession registrySession) {
        session = registrySession;
        session.start(loop.now());
    }

    @Override
    public void read(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        send(question, endpoint, EtcdText.RANGE, EtcdText.read(from, prefix, atRevision, limit, keysOnly), false);
    }

    @Override
    public void probe(long question, int endpoint) {
        send(question, endpoint, EtcdText.RANGE, EtcdText.probe(prefix), false);
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        send(question, endpoint, EtcdText.WATCH, EtcdText.watch(prefix, fromRevision), true);
    }

    @Override
    public void drop(long question) {
        Runnable cancel = pendingRequests.remove(question);
        if (cancel != null) {
            cancel.run();
        }
    }

    @Override
    public void step(Step step) {
        steps.accept(step);
    }

    @Override
    public void say(String text) {
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
                        session.answered(loop.now(), question, EtcdText.answer(text));
                    }

                    @Override
                    public void onFailure(String reason) {
                        pendingRequests.remove(question);
                        session.failed(loop.now(), question, reason);
                    }

                    @Override
                    public void onTooLong() {
                        pendingRequests.remove(question);
                        session.tooLong(loop.now(), question);
                    }
                }));
    }
}
