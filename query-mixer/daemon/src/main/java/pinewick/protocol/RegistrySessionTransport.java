package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.loop.EventLoop;
import pinewick.registry.EtcdText;
import pinewick.registry.RegistrySession;
import pinewick.registry.Step;

/** Puts a session's questions to the registry and brings it the answers. */
public final class RegistrySessionTransport implements RegistrySession.Wire {
    private final EventLoop loop;
    private final RegistryHttpClient client;
    private final String prefix;
    private final Consumer<Step> steps;
    private final Consumer<String> log;
    private final Map<Long, Runnable> open = new LinkedHashMap<>();
    private RegistrySession session;

    public RegistrySessionTransport(
            EventLoop loop, RegistryHttpClient client, String prefix, Consumer<Step> steps, Consumer<String> log) {
        this.loop = loop;
        this.client = client;
        this.prefix = prefix;
        this.steps = steps;
        this.log = log;
    }

    /** Starts to follow; {@link RegistrySession#tick} stays the caller's. */
    public void start(RegistrySession by) {
        session = by;
        session.start(loop.now());
    }

    @Override
    public void read(long question, int endpoint, String from, long atRevision, int limit, boolean keysOnly) {
        ask(question, endpoint, EtcdText.RANGE, EtcdText.read(from, prefix, atRevision, limit, keysOnly), false);
    }

    @Override
    public void probe(long question, int endpoint) {
        ask(question, endpoint, EtcdText.RANGE, EtcdText.probe(prefix), false);
    }

    @Override
    public void watch(long question, int endpoint, long fromRevision) {
        ask(question, endpoint, EtcdText.WATCH, EtcdText.watch(prefix, fromRevision), true);
    }

    @Override
    public void drop(long question) {
        Runnable dropped = open.remove(question);
        if (dropped != null) {
            dropped.run();
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

    private void ask(long question, int endpoint, String path, String body, boolean stream) {
        open.put(question, client.post(endpoint, path, body, stream, new RegistryHttpClient.ResponseHandler() {
            @Override
            public void onLine(String text) {
                if (!stream) {
                    open.remove(question);
                }
                session.answered(loop.now(), question, EtcdText.answer(text));
            }

            @Override
            public void onFailure(String why) {
                open.remove(question);
                session.failed(loop.now(), question, why);
            }

            @Override
            public void onTooLong() {
                open.remove(question);
                session.tooLong(loop.now(), question);
            }
        }));
    }
}
