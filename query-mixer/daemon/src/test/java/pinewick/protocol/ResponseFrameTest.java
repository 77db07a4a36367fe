package pinewick.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseFrameTest {
    private static ResponseFrame read(String text) {
        return ResponseFrame.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void anAnswerIsReadInItsParts() {
        ResponseFrame answer = read("q1.0 S 1 queue=3,qps=1.5\nvalue of the part");

        assertTrue(answer.wellFormed());
        assertEquals("q1.0", answer.part());
        assertEquals('S', answer.end());
        assertNotNull(answer.report());
        assertArrayEquals("value of the part".getBytes(StandardCharsets.UTF_8), answer.value());
    }

    @Test
    void aReportThatCannotBeReadCostsNoAnswer() {
        ResponseFrame answer = read("q1.0 S 1 queue=%%%\nvalue");

        assertTrue(answer.wellFormed());
        assertNull(answer.report());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "q1.0 S 1 -",
                "q1.0 S 1\nvalue",
                "q1.0 S 1 - more\nvalue",
                "q1.0 Q 1 -\nvalue",
                "q1.0 SE 1 -\nvalue",
                "q1.0 S one -\nvalue",
                "q1.0 S 1 -\n\u0001\u0002"
            })
    void whatCannotBeReadStillNamesItsPart(String text) {
        ResponseFrame answer = read(text);

        assertFalse(answer.wellFormed());
        assertEquals("q1.0", answer.part());
    }
}
