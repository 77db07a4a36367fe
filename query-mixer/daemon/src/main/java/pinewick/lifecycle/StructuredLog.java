package pinewick.lifecycle;

import java.util.List;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;
import pinewick.loop.Log;

/**
 * The log as the operator's file sets it, by tinylog: one JSON object a line, or a readable line, on standard error,
 * from a stated level on, fields kept apart. The bound on the rate stays {@link Log}'s.
 */
final class StructuredLog extends Log {
    /** Fields that have a place of their own in a JSON line; others are put behind the message. */
    private static final List<String> FIELDS = List.of("searcher", "revision", "searchers", "mixers", "address");

    private static final String TIME = "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX}";

    StructuredLog(OperatorConfig.Logs given, int mostASecond) {
        super(System.err, mostASecond);
        Configuration.set("autoshutdown", "false");
        Configuration.set(
                "level",
                switch (given.level()) {
                    case DEBUG -> "debug";
                    case INFO -> "info";
                    case WARNING -> "warn";
                    case ERROR -> "error";
                });
        if (given.json()) {
            Configuration.set("writer", "json");
            Configuration.set("writer.file", "/dev/stderr");
            Configuration.set("writer.append", "true");
            Configuration.set("writer.format", "LDJSON");
            Configuration.set("writer.field.time", TIME);
            Configuration.set("writer.field.level", "{level}");
            Configuration.set("writer.field.component", "{tag}");
            Configuration.set("writer.field.message", "{message}");
            for (String field : FIELDS) {
                Configuration.set("writer.field." + field, "{context: " + field + "}");
            }
        } else {
            Configuration.set("writer", "console");
            Configuration.set("writer.stream", "err");
            Configuration.set("writer.format", TIME + " {level|size=5} {tag} {message}");
        }
    }

    @Override
    protected void write(long nowMillis, Level level, String component, String text, String... fields) {
        StringBuilder message = new StringBuilder(text);
        for (int each = 0; each + 1 < fields.length; each += 2) {
            if (FIELDS.contains(fields[each])) {
                ThreadContext.put(fields[each], fields[each + 1]);
            } else {
                message.append(' ').append(fields[each]).append('=').append(fields[each + 1]);
            }
        }
        switch (level) {
            case DEBUG -> Logger.tag(component).debug((Object) message);
            case INFO -> Logger.tag(component).info((Object) message);
            case WARNING -> Logger.tag(component).warn((Object) message);
            case ERROR -> Logger.tag(component).error((Object) message);
        }
        ThreadContext.clear();
    }
}
