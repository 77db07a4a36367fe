package pinewick.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A trace with each breach that the checker detects, and a valid one in which it must find none. */
class RuleCheckerTest {
    private static List<RuleChecker.Breach> judge(String... lines) {
        List<String> tabSeparated =
                List.of(lines).stream().map(each -> each.replace(' ', '\t')).toList();
        return new RuleChecker(0.5, 0.05).judge(Trace.read(tabSeparated).events());
    }

    private static void assertBreach(int rule, String description, String... lines) {
        List<RuleChecker.Breach> breaches = judge(lines);
        assertEquals(1, breaches.size(), breaches.toString());
        assertEquals(rule, breaches.get(0).rule());
        assertEquals(description, breaches.get(0).description());
    }

    @Test
    void acceptsAValidTrace() {
        assertEquals(
                List.of(),
                judge(
                        "0 m taken q - - 1",
                        "0.1 m sent q q.0 s 0",
                        "0.2 m told - - s draining",
                        "0.6 m sent q q.1 s 0",
                        "0.9 m answered q - - fulfilled",
                        "1 m told - - s ready",
                        "5 m taken p - - 1",
                        "5.1 m sent p p.0 s 0",
                        "5.2 m withdrawn p - - -",
                        "9 other sent x x.0 s 0"));
    }

    @Test
    void secondResponseBreaksRuleOne() {
        assertBreach(
                1,
                "a second final response",
                "0 m taken q - - 1",
                "0.5 m answered q - - declined",
                "0.6 m answered q - - fulfilled");
    }

    @Test
    void lateResponseBreaksRuleOne() {
        assertBreach(
                1, "a response after the client's deadline", "0 m taken q - - 1", "1.06 m answered q - - fulfilled");
    }

    @Test
    void missingResponseBreaksRuleOne() {
        assertBreach(1, "no response", "0 m taken q - - 1", "2 m told - - s draining");
    }

    @Test
    void partAfterTheResponseBreaksRuleOne() {
        assertBreach(
                1,
                "a part sent after the final response",
                "0 m taken q - - 1",
                "0.2 m answered q - - part",
                "0.3 m sent q q.0 s 1");
    }

    @Test
    void responseToAnUnknownQueryBreaksRuleOne() {
        assertBreach(1, "a response to an unknown query", "0.2 m answered q - - fulfilled");
    }

    @Test
    void partAfterTheGracePeriodBreaksRuleThree() {
        assertBreach(
                3,
                "a part sent after the grace period",
                "0 m told - - s draining",
                "0.3 m told - - s gone",
                "0.51 m sent q q.0 s 0");
    }

    @Test
    void drainKnownToOneRouterDoesNotBindAnother() {
        assertEquals(List.of(), judge("0 m told - - s gone", "5 n sent q q.0 s 0"));
    }

    @Test
    void reportsTheNumberOfAMalformedLine() {
        assertEquals(
                "line 2: 7 fields are expected, not 3",
                assertThrows(IllegalArgumentException.class, () -> judge("0 m taken q - - 1", "1 m sent"))
                        .getMessage());
    }
}
