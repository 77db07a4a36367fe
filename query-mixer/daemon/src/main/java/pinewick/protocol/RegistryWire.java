package pinewick.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pinewick.loop.Loop;
import pinewick.registry.EtcdText;
import pinewick.registry.RegistrySession;
import pinewick.registry.Step;

/** Puts a session's questions to the registry and brings it the answers. */
public final class RegistryWire implements RegistrySession.Wire {
    private final Loop loop;
    private final RegistryCalls calls;
    private final String prefix;
    private final Consumer<Step> steps;
    private final Consumer<String> log;
    private final Map<Long, Runnable> open = new LinkedHashMap<>();
    private RegistrySession session;

    public RegistryWire(Loop loop, RegistryCalls calls, String prefix, Consumer<Step> steps, Consumer<String> log) {
        this.loop = loop;
        this.calls = calls;
        this.prefix = prefix;
        this.steps = steps;
        this.log = log;
    }

    /** Starts to follow; {@link RegistrySession#tick} stays the caller's. */
    public void follow(RegistrySession by) {
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
        open.put(question, calls.ask(endpoint, path, body, stream, new RegistryCalls.Asker() {
            @Override
            public void line(String text) {
                if (!stream) {
                    open.remove(question);
                }
                session.answered(loop.now(), question, EtcdText.answer(text));
            }

            @Override
            public void failed(String why) {
                open.remove(question);
                session.failed(loop.now(), question, why);
            }

            @Override
            public void tooLong() {
                open.remove(question);
                session.tooLong(loop.now(), question);
            }
        }));
    }
}
