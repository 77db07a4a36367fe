package pinewick.lifecycle;

import java.util.List;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;
import pinewick.loop.Log;

/**
 * The log as the operator's file configures it, written by tinylog to standard error: lines of JSON with separate
 * fields, or readable lines, from the configured level on. The rate limit is that of {@link Log}.
 */
final class StructuredLog extends Log {
    /** Fields that are separate in a JSON line; others are appended to the message. */
    private static final List<String> JSON_FIELDS = List.of("searcher", "revision", "searchers", "mixers", "address");

    private static final String TIME_FORMAT = "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX}";

    StructuredLog(OperatorConfig.LogSettings settings, int maxLinesPerSecond) {
        super(System.err, maxLinesPerSecond);
        Configuration.set("autoshutdown", "false");
        Configuration.set(
                "level",
                switch (settings.level()) {
                    case DEBUG -> "debug";
                    case INFO -> "info";
                    case WARNING -> "warn";
                    case ERROR -> "error";
                });
        if (settings.json()) {
            Configuration.set("writer", "json");
            Configuration.set("writer.file", "/dev/stderr");
            Configuration.set("writer.append", "true");
            Configuration.set("writer.format", "LDJSON");
            Configuration.set("writer.field.time", TIME_FORMAT);
            Configuration.set("writer.field.level", "{level}");
            Configuration.set("writer.field.component", "{tag}");
            Configuration.set("writer.field.message", "{message}");
            for (String field : JSON_FIELDS) {
                Configuration.set("writer.field." + field, "{context: " + field + "}");
            }
        } else {
            Configuration.set("writer", "console");
            Configuration.set("writer.stream", "err");
            Configuration.set("writer.format", TIME_FORMAT + " {level|size=5} {tag} {message}");
        }
    }

    @Override
    protected void write(long nowMillis, Level level, String component, String text, String... fields) {
        StringBuilder message = new StringBuilder(text);
        for (int index = 0; index + 1 < fields.length; index += 2) {
            if (JSON_FIELDS.contains(fields[index])) {
                ThreadContext.put(fields[index], fields[index + 1]);
            } else {
                message.append(' ').append(fields[index]).append('=').append(fields[index + 1]);
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
