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

/** Tests that the documentation matches the code: named classes and members exist, quoted log lines are logged. */
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
    /** Types of libraries and protocols that are named on the pages. */
    private static final Set<String> EXTERNAL_TYPES =
            Set.of("HttpClient", "HttpParser", "HttpContinueReadHandler", "CompileThresholdScaling");
    /** Prefix of Java virtual machine options, whose names look like types. */
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
    private static final int MIN_LITERAL_LENGTH = 4;

    /** The text of the source files that declare a type, by the type's simple name. */
    private static final Map<String, String> SOURCES = new TreeMap<>();

    @BeforeAll
    static void readSources() throws IOException {
        for (String folder : List.of("router-fleet", "query-mixer", "testing")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    String text = Files.readString(file);
                    DECLARATION
                            .matcher(text)
                            .results()
                            .map(match -> match.group(1))
                            .forEach(type -> SOURCES.merge(type, text, String::concat));
                }
            }
        }
    }

    @Test
    void everyTypeNamedOnAPageExists() throws IOException {
        List<String> missing = new ArrayList<>();
        for (String page : PAGES) {
            for (String span : codeSpans(page)) {
                TYPE_NAME
                        .matcher(span.contains(JVM_FLAG) ? "" : span)
                        .results()
                        .map(match -> match.group(1))
                        .filter(name -> !SOURCES.containsKey(name) && !EXTERNAL_TYPES.contains(name))
                        .forEach(name -> missing.add(page + ": " + name));
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void everyMemberNamedOnAPageExists() throws IOException {
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
        String boundary = member.group(3) == null ? "\\b" : "";
        String source = SOURCES.get(member.group(1));
        return Pattern.compile("\\b" + member.group(2) + boundary)
                .matcher(source)
                .find();
    }

    @Test
    void everyLogLineQuotedOnAPageIsLoggedByTheClassItNames() throws IOException {
        List<String> missing = new ArrayList<>();
        int checkedLines = 0;
        for (String page : List.of("docs/on-call.md", "docs/operators/router-fleet.md")) {
            for (String span : codeSpans(page)) {
                Matcher logLine = LOG_LINE.matcher(span);
                if (logLine.matches() && SOURCES.containsKey(logLine.group(1))) {
                    checkedLines++;
                    if (!isLoggedBy(logLine.group(1), logLine.group(2))) {
                        missing.add(page + ": " + span);
                    }
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(checkedLines > 0, "no log line found on the pages");
    }

    /** Whether each part of the text between placeholders occurs in the class or in the events of the replication. */
    private static boolean isLoggedBy(String type, String text) {
        String source = SOURCES.get(type);
        String replicationEvents = "CommittedConfigurationListener".equals(type) ? replicationSources() : "";
        for (String part : PLACEHOLDER.split(text)) {
            String literal = part.strip();
            if (literal.length() >= MIN_LITERAL_LENGTH
                    && !source.contains(literal)
                    && !isReplicationEvent(replicationEvents, literal)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isReplicationEvent(String replicationEvents, String literal) {
        String eventText = literal.startsWith("replication: ") ? literal.substring("replication: ".length()) : literal;
        return replicationEvents.contains(eventText);
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
                .map(match -> match.group(1))
                .toList();
    }
}
