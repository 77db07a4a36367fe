package pinewick.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pinewick.model.RouteKind;
import pinewick.model.Stage;

/** A non-idempotent request is sent once, whatever the replica does, and no response denies its execution. */
class ExecutionUncertaintyTest {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final String COMPLETE_RESPONSE = ScriptedReplica.response(200, "q1", "0123456789");

    private TestRouter router;
    private ScriptedReplica first;
    private ScriptedReplica second;
    private RawSocket client;

    /** What a replica does after it has read a request. */
    private enum Misbehaviour {
        CLOSES_AT_ONCE {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.close();
            }
        },
        RESETS_AT_ONCE {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.reset();
            }
        },
        CLOSES_WITHIN_THE_HEAD {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send(COMPLETE_RESPONSE.substring(0, 30));
                upstream.close();
            }
        },
        RESETS_WITHIN_THE_HEAD {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.sendAndReset(COMPLETE_RESPONSE.substring(0, 30));
            }
        },
        CLOSES_WITHIN_THE_BODY {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send(COMPLETE_RESPONSE.substring(0, COMPLETE_RESPONSE.length() - 3));
                upstream.close();
            }
        },
        RESETS_WITHIN_THE_BODY {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.sendAndReset(COMPLETE_RESPONSE.substring(0, COMPLETE_RESPONSE.length() - 3));
            }
        },
        RESETS_A_RESPONSE_WITHOUT_LENGTH {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.sendAndReset(COMPLETE_RESPONSE.replaceFirst("Content-Length: \\d+\r\n", ""));
            }
        },
        STAYS_SILENT {
            @Override
            void perform(RawSocket upstream) {}
        },
        SENDS_ANOTHER_PROTOCOL {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send("220 mail.example ESMTP\r\n");
            }
        },
        RESPONDS_TO_ANOTHER_REQUEST_AND_CLOSES {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send(ScriptedReplica.response(200, "q0", "late"));
                upstream.close();
            }
        },
        RESPONDS_WITH_500 {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send(ScriptedReplica.response(500, "q1", "failed"));
            }
        },
        REJECTS_WITHOUT_NOT_EXECUTED_HEADER {
            @Override
            void perform(RawSocket upstream) throws IOException {
                upstream.send(ScriptedReplica.response(503, "q1", "full"));
            }
        };

        abstract void perform(RawSocket upstream) throws IOException;
    }

    @BeforeEach
    void start() throws Exception {
        router = new TestRouter();
        router.configure(TestRouter.plainRoute("non_idempotent", 3).replace("5000", "300"));
        first = router.replica("i-1", "plain", Stage.NONE);
        second = router.replica("i-2", "plain", Stage.NONE);
        client = router.client();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
    }

    private void send(String id) throws IOException {
        router.forceChoices("i-1");
        client.send(TestRouter.request("POST", "/plain/x", id, "body"));
    }

    private RawSocket reusedConnection() throws IOException {
        send("q0");
        RawSocket upstream = first.accept();
        upstream.read();
        upstream.send(ScriptedReplica.response(200, "q0", "earlier"));
        assertEquals("earlier", client.read().body());
        return upstream;
    }

    private void assertSentOnce() throws Exception {
        int status = client.read().status();
        assertTrue(status >= 500 && !NOT_EXECUTED_STATUSES.contains(status), "status " + status);
        assertFalse(second.hasPendingConnection(), "sent to a second replica");
        assertFalse(first.hasPendingConnection(), "sent on a second connection");
    }

    @ParameterizedTest
    @EnumSource
    void sendsOnceOnANewConnection(Misbehaviour misbehaviour) throws Exception {
        send("q1");
        RawSocket upstream = first.accept();
        upstream.read();
        misbehaviour.perform(upstream);
        assertSentOnce();
    }

    @ParameterizedTest
    @EnumSource
    void sendsOnceOnAReusedConnection(Misbehaviour misbehaviour) throws Exception {
        RawSocket upstream = reusedConnection();
        send("q1");
        upstream.read();
        misbehaviour.perform(upstream);
        assertSentOnce();
    }

    @Test
    void sendsOnANewConnectionIfTheReplicaHasClosedTheIdleOne() throws Exception {
        reusedConnection().close();
        send("q1");
        RawSocket upstream = first.accept();
        assertEquals("q1", upstream.read().field("X-Pinewick-Request-Id"));
        upstream.send(COMPLETE_RESPONSE);
        assertEquals("0123456789", client.read().body());
        assertFalse(second.hasPendingConnection());
    }

    @Test
    void returns502IfTheRouterStopsAfterItWasSent() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.NON_IDEMPOTENT, false, false, 3, 1);
        context.lifecycle.start();
        context.calls.last().sent = true;
        context.lifecycle.onShutdown();
        assertEquals(502, context.client.status);
        assertEquals(1, context.calls.all.size());
    }

    @Test
    void returns503IfTheRouterStopsBeforeAByteWasSent() {
        LifecycleTestContext context = new LifecycleTestContext(RouteKind.NON_IDEMPOTENT, false, false, 3, 1);
        context.lifecycle.start();
        context.lifecycle.onShutdown();
        assertEquals(503, context.client.status);
        assertEquals(1, context.calls.all.size());
        assertTrue(context.calls.last().finished);
    }
}
