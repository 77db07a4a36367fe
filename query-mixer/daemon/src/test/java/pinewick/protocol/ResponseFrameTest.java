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
    void responseIsParsedIntoItsFields() {
        ResponseFrame response = read("q1.0 S 1 queue=3,qps=1.5\nvalue of the part");

        assertTrue(response.wellFormed());
        assertEquals("q1.0", response.part());
        assertEquals('S', response.end());
        assertNotNull(response.report());
        assertArrayEquals("value of the part".getBytes(StandardCharsets.UTF_8), response.value());
    }

    @Test
    void invalidLoadReportDoesNotInvalidateTheResponse() {
        ResponseFrame response = read("q1.0 S 1 queue=%%%\nvalue");

        assertTrue(response.wellFormed());
        assertNull(response.report());
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
    void malformedResponseStillNamesItsPart(String text) {
        ResponseFrame response = read(text);

        assertFalse(response.wellFormed());
        assertEquals("q1.0", response.part());
    }
}
