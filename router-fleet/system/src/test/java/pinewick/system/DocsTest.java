package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** What the documents say of the code is there: classes, members of classes, and log lines as the code writes them. */
class DocsTest {
    private static final Path ROOT = Path.of("..", "..");
    private static final List<String> PAGES = List.of(
            "README.md",
            "docs/architecture.md",
            "docs/glossary.md",
            "docs/system.md",
            "docs/control-safety.md",
            "docs/CAPACITY.md",
            "docs/crossings.md",
            "docs/design.md",
            "docs/on-call.md",
            "docs/operators/router-fleet.md",
            "docs/operators/system-settings.md");
    /** Types of libraries and protocols that the pages name. */
    private static final Set<String> NOT_OURS =
            Set.of("HttpClient", "HttpParser", "HttpContinueReadHandler", "CompileThresholdScaling");
    /** Settings of the Java virtual machine, which look like types. */
    private static final String JVM_FLAG = "-XX:";

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    private static final Pattern TYPE_NAME =
            Pattern.compile("(?<![\\w/\\-.])([A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)+)\\b");
    private static final Pattern MEMBER =
            Pattern.compile("\\b([A-Z][A-Za-z0-9]+)\\.(?!java$)([a-z]\\w+)(\\.\\.\\.|…)?$");
    private static final Pattern LOG_LINE = Pattern.compile("([A-Z][A-Za-z]+): (.+)");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\b(?:[A-Z]{2,}|N)\\b|%[sd]");
    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|interface|enum|record|@interface)\\s+([A-Z]\\w*)");
    private static final int SHORTEST_TEXT = 4;

    /** By type, the source files that declare a type of this name. */
    private static final Map<String, String> SOURCES = new TreeMap<>();

    @BeforeAll
    static void readSources() throws IOException {
        for (String folder : List.of("router-fleet", "query-mixer", "testing")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
                for (Path file :
                        files.filter(each -> each.toString().endsWith(".java")).toList()) {
                    String text = Files.readString(file);
                    DECLARATION
                            .matcher(text)
                            .results()
                            .map(found -> found.group(1))
                            .forEach(type -> SOURCES.merge(type, text, String::concat));
                }
            }
        }
    }

    @Test
    void everyTypeThatAPageNamesExists() throws IOException {
        List<String> missing = new ArrayList<>();
        for (String page : PAGES) {
            for (String span : codeSpans(page)) {
                TYPE_NAME
                        .matcher(span.contains(JVM_FLAG) ? "" : span)
                        .results()
                        .map(found -> found.group(1))
                        .filter(name -> !SOURCES.containsKey(name) && !NOT_OURS.contains(name))
                        .forEach(name -> missing.add(page + ": " + name));
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void everyMemberThatAPageNamesExists() throws IOException {
        List<String> missing = new ArrayList<>();
        for (String page : PAGES) {
            for (String span : codeSpans(page)) {
                Matcher member = MEMBER.matcher(span);
                if (member.find() && SOURCES.containsKey(member.group(1)) && !hasMember(member.toMatchResult())) {
                    missing.add(page + ": " + span);
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    private static boolean hasMember(MatchResult member) {
        String end = member.group(3) == null ? "\\b" : "";
        String source = SOURCES.get(member.group(1));
        return Pattern.compile("\\b" + member.group(2) + end).matcher(source).find();
    }

    @Test
    void everyLogLineThatAPageQuotesIsWrittenByTheClassItNames() throws IOException {
        List<String> missing = new ArrayList<>();
        int checked = 0;
        for (String page : List.of("docs/on-call.md", "docs/operators/router-fleet.md")) {
            for (String span : codeSpans(page)) {
                Matcher line = LOG_LINE.matcher(span);
                if (line.matches() && SOURCES.containsKey(line.group(1))) {
                    checked++;
                    if (!isWritten(line.group(1), line.group(2))) {
                        missing.add(page + ": " + span);
                    }
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(checked > 0, "no log line found on the pages");
    }

    /** Whether each part of the text between its values is in the class, or in the events of the replication. */
    private static boolean isWritten(String type, String text) {
        String source = SOURCES.get(type);
        String events = "CommittedConfigurationListener".equals(type) ? replicationSources() : "";
        for (String part : PLACEHOLDER.split(text)) {
            String literal = part.strip();
            if (literal.length() >= SHORTEST_TEXT && !source.contains(literal) && !isEvent(events, literal)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isEvent(String events, String literal) {
        String event = literal.startsWith("replication: ") ? literal.substring("replication: ".length()) : literal;
        return events.contains(event);
    }

    private static String replicationSources() {
        StringBuilder text = new StringBuilder();
        SOURCES.values().stream()
                .filter(source -> source.contains("package pinewick.replication;"))
                .forEach(text::append);
        return text.toString();
    }

    private static List<String> codeSpans(String page) throws IOException {
        return CODE_SPAN
                .matcher(Files.readString(ROOT.resolve(page)))
                .results()
                .map(found -> found.group(1))
                .toList();
    }
}
