package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class KvHandlesTest {
    private final KvHandles handles = new KvHandles();

    @Test
    void handleCanBeTakenOnlyOnce() {
        String handle = handles.issue("q1");

        assertEquals(1, handles.pendingCount());
        assertEquals(KvHandles.TakeResult.SAME_REQUEST, handles.take(handle, "q1"));
        assertEquals(KvHandles.TakeResult.NOT_FOUND, handles.take(handle, "q1"));
        assertEquals(0, handles.pendingCount());
    }

    @Test
    void detectsAHandleOfAnotherRequest() {
        String handle = handles.issue("q1");

        assertNotEquals(handle, handles.issue("q2"));
        assertEquals(KvHandles.TakeResult.OTHER_REQUEST, handles.take(handle, "q2"));
    }

    @Test
    void freedHandleIsNotFound() {
        String handle = handles.issue("q1");

        handles.free(handle);

        assertEquals(KvHandles.TakeResult.NOT_FOUND, handles.take(handle, "q1"));
        assertEquals(1, handles.issuedCount());
    }
}
