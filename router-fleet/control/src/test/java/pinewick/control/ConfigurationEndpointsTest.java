package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pinewick.model.ConfigurationDocument;
import pinewick.model.ConfigurationFault;
import pinewick.model.SocketAddress;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;
import pinewick.replication.ReadOutcome;

/** How outcomes of the replicated configuration become responses to the operator. */
class ConfigurationEndpointsTest {
    private static final SocketAddress SELF = new SocketAddress("10.1.0.13", 8166);
    private static final SocketAddress OTHER = new SocketAddress("10.2.0.43", 8166);
    private static final long DEADLINE_MS = 4_000;

    private final ManualLoop loop = new ManualLoop(0);
    private final FakeConfiguration configuration = new FakeConfiguration();
    private final ConfigurationEndpoints endpoints = new ConfigurationEndpoints(configuration, loop, SELF, DEADLINE_MS);
    private final List<ApiResponse> responses = new ArrayList<>();

    private ApiResponse update(String baseVersion) {
        ApiRequest request =
                new ApiRequest("/config/update", "", Optional.ofNullable(baseVersion), new byte[] {'{', '}'});
        endpoints.update(request, responses::add);
        loop.advance(0);
        return responses.get(responses.size() - 1);
    }

    private ApiResponse read() {
        endpoints.read(new ApiRequest("/config/read", "", Optional.empty(), new byte[0]), responses::add);
        loop.advance(0);
        return responses.get(responses.size() - 1);
    }

    private static String text(ApiResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    void respondsOkToAnAcceptedChange() {
        configuration.changeOutcome = new ChangeOutcome.Accepted(9);
        assertEquals(200, update("7").status());
        ConfigurationChange change = configuration.changes.get(0);
        assertEquals(ConfigurationChange.Kind.UPDATE, change.kind());
        assertEquals(7, change.baseVersion());
        assertArrayEquals(new byte[] {'{', '}'}, change.body());
    }

    @Test
    void distinguishesReplacementsFromUpdates() {
        configuration.changeOutcome = new ChangeOutcome.Accepted(9);
        endpoints.replace(new ApiRequest("/config/replace", "", Optional.of("0"), new byte[0]), responses::add);
        loop.advance(0);
        assertEquals(
                ConfigurationChange.Kind.REPLACE, configuration.changes.get(0).kind());
    }

    @Test
    void reportsTheCurrentVersionOnAConflict() {
        configuration.changeOutcome = new ChangeOutcome.VersionConflict(12);
        ApiResponse response = update("7");
        assertEquals(412, response.status());
        assertTrue(text(response).contains("12"));
    }

    @Test
    void listsEveryFaultOfAnInvalidChange() {
        configuration.changeOutcome = new ChangeOutcome.Invalid(List.of(
                new ConfigurationFault("routes/r-1", "service", "is not known"),
                new ConfigurationFault("routes/r-2", "timeout_ms", "is 0")));
        ApiResponse response = update("7");
        assertEquals(400, response.status());
        assertTrue(text(response).contains("routes/r-1") && text(response).contains("timeout_ms"));
    }

    @Test
    void redirectsToAnotherPrimary() {
        configuration.changeOutcome = new ChangeOutcome.NotPrimary(Optional.of(OTHER));
        ApiResponse response = update("7");
        assertEquals(307, response.status());
        assertEquals(Optional.of("http://10.2.0.43:8166/config/update"), response.location());
        configuration.readOutcome = new ReadOutcome.NotPrimary(Optional.of(OTHER));
        assertEquals(Optional.of("http://10.2.0.43:8166/config/read"), read().location());
    }

    @Test
    void respondsInTimeWithoutAPrimary() {
        configuration.changeOutcome = new ChangeOutcome.NotPrimary(Optional.empty());
        configuration.readOutcome = new ReadOutcome.NotPrimary(Optional.of(SELF));
        endpoints.update(new ApiRequest("/config/update", "", Optional.of("7"), new byte[0]), responses::add);
        endpoints.read(new ApiRequest("/config/read", "", Optional.empty(), new byte[0]), responses::add);
        loop.advance(ConfigurationEndpoints.PRIMARY_WAIT_MS - 1);
        assertEquals(List.of(), responses);
        loop.advance(ConfigurationEndpoints.RETRY_INTERVAL_MS);
        assertEquals(
                List.of(503, 503), responses.stream().map(ApiResponse::status).toList());
    }

    @Test
    void completesARequestDuringAnElectionOnceAPrimaryIsElected() {
        configuration.changeOutcome = new ChangeOutcome.NotPrimary(Optional.empty());
        configuration.readOutcome = new ReadOutcome.NotPrimary(Optional.empty());
        endpoints.update(new ApiRequest("/config/update", "", Optional.of("7"), new byte[0]), responses::add);
        endpoints.read(new ApiRequest("/config/read", "", Optional.empty(), new byte[0]), responses::add);
        loop.advance(300);
        configuration.changeOutcome = new ChangeOutcome.Accepted(9);
        configuration.readOutcome = new ReadOutcome.NotPrimary(Optional.of(OTHER));
        loop.advance(ConfigurationEndpoints.RETRY_INTERVAL_MS);
        assertEquals(
                List.of(200, 307), responses.stream().map(ApiResponse::status).toList());
    }

    @Test
    void advancesTheClockBeforeEachRequestEvenAfterAFreeze() {
        configuration.changeOutcome = new ChangeOutcome.Accepted(9);
        configuration.readOutcome = new ReadOutcome.Unavailable("not relevant");
        loop.pause(20_000);
        update("7");
        assertEquals(loop.nowMs(), configuration.clockMs);
        loop.pause(20_000);
        read();
        assertEquals(loop.nowMs(), configuration.clockMs);
    }

    @Test
    void responds503ToAnUnknownOutcome() {
        configuration.changeOutcome = new ChangeOutcome.Unknown("no quorum");
        assertEquals(503, update("7").status());
        configuration.readOutcome = new ReadOutcome.Unavailable("no quorum");
        assertEquals(503, read().status());
    }

    @Test
    void returnsTheCompleteDocumentOnRead() {
        configuration.readOutcome = new ReadOutcome.Current(ConfigurationDocument.EMPTY);
        ApiResponse response = read();
        assertEquals(200, response.status());
        assertTrue(text(response).contains("\"version\":0"));
    }

    @Test
    void responds503AtTheDeadlineWithoutAnOutcome() {
        endpoints.update(new ApiRequest("/config/update", "", Optional.of("7"), new byte[0]), responses::add);
        loop.advance(DEADLINE_MS - 1);
        assertEquals(List.of(), responses);
        loop.advance(1);
        assertEquals(503, responses.get(0).status());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "x", "-1", "1.5", "+3", "9999999999999999999", "7,8"})
    void rejectsAMalformedBaseVersion(String baseVersion) {
        assertEquals(400, update(baseVersion).status());
        assertEquals(List.of(), configuration.changes);
    }

    @Test
    void rejectsAMissingBaseVersion() {
        assertEquals(400, update(null).status());
    }
}
