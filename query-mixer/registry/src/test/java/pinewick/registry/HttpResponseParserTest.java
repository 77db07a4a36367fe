package pinewick.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpResponseParserTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void linesDoNotDependOnWhereBytesAreSplit() {
        byte[] all =
                bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n9;x=1\r\n1}\n{\"b\"\n}\r\n"
                        + "3\r\n\n\nz\r\n0\r\nTrailer: 1\r\n\r\n");
        for (int split = 0; split <= all.length; split++) {
            List<String> lines = new ArrayList<>();
            HttpResponseParser parser = new HttpResponseParser(100);
            parser.feed(ByteBuffer.wrap(all, 0, split), lines::add);
            parser.feed(ByteBuffer.wrap(all, split, all.length - split), lines::add);
            assertEquals(List.of("{\"a\":1}", "{\"b\"", "}", "z"), lines, "split at " + split);
            assertTrue(parser.isDone());
        }
    }

    @Test
    void incompleteLineIsNotEmitted() {
        List<String> lines = new ArrayList<>();
        HttpResponseParser parser = new HttpResponseParser(100);
        parser.feed(
                ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"whole\":1}\n{\"hal")),
                lines::add);
        assertEquals(List.of("{\"whole\":1}"), lines);
        assertFalse(parser.isDone());
    }

    @Test
    void oversizedLineIsRejected() {
        HttpResponseParser parser = new HttpResponseParser(10);
        assertThrows(
                HttpResponseParser.TooLargeException.class,
                () -> parser.feed(ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\n\r\n01234567890123")), any -> {}));
    }

    @Test
    void connectionIsReusableOnlyIfResponseAllowsIt() {
        HttpResponseParser reusable = new HttpResponseParser(100);
        List<String> lines = new ArrayList<>();
        reusable.feed(ByteBuffer.wrap(bytes("HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\n{}")), lines::add);
        assertTrue(reusable.isDone() && reusable.isKeepAlive() && reusable.status() == 400);
        HttpResponseParser closed = new HttpResponseParser(100);
        closed.feed(
                ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")),
                lines::add);
        assertTrue(closed.isDone() && !closed.isKeepAlive());
    }

    @Test
    void invalidHttpIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new HttpResponseParser(100)
                .feed(ByteBuffer.wrap(bytes("SSH-2.0\r\n")), any -> {}));
        assertThrows(IllegalArgumentException.class, () -> new HttpResponseParser(100)
                .feed(
                        ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")),
                        any -> {}));
    }
}
