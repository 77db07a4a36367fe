package pinewick.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import pinewick.model.SocketAddress;
import pinewick.quota.TenantUsage;
import pinewick.replication.Member;
import pinewick.replication.ReplicationReport;
import pinewick.replication.ReplicationReport.FaultTolerance;
import pinewick.replication.ReplicationReport.MemberReport;

/** The sections of a controller's status report on the replicated configuration and on tenants. */
class StatusReportTest {
    private static final SocketAddress API = SocketAddress.parse("10.1.0.1:8166");
    private static final SocketAddress INTERNAL = SocketAddress.parse("10.1.0.1:7721");

    private static JsonObject configuration(FaultTolerance tolerance, OptionalDouble silentMs) {
        MemberReport member = new MemberReport(new Member("store-a", INTERNAL), true, false, silentMs);
        ReplicationReport replication = new ReplicationReport(12, Optional.of(API), List.of(member), 1, tolerance);
        byte[] json = new StatusReport()
                .configuration(7, replication, Optional.empty(), "")
                .toJson();
        return JsonParser.parseString(new String(json, StandardCharsets.UTF_8))
                .getAsJsonObject()
                .getAsJsonObject("configuration");
    }

    @Test
    void reportsTolerableLossesOnThePrimary() {
        FaultTolerance tolerance =
                new FaultTolerance(OptionalInt.of(3), OptionalInt.of(1), "", OptionalDouble.of(250.4));
        JsonObject section = configuration(tolerance, OptionalDouble.of(42));
        assertEquals(12, section.get("epoch").getAsLong());
        assertEquals(API.toString(), section.get("primary").getAsString());
        assertEquals(1, section.get("in_sync").getAsInt());
        assertEquals(3, section.get("up_to_date_stores").getAsInt());
        assertEquals(1, section.get("tolerable_losses").getAsInt());
        assertEquals(250, section.get("sufficient_ms").getAsLong());
        assertFalse(section.has("tolerable_losses_unknown"));
        JsonObject member = section.getAsJsonArray("members").get(0).getAsJsonObject();
        assertEquals("store-a", member.get("identity").getAsString());
        assertEquals(INTERNAL.toString(), member.get("address").getAsString());
        assertEquals(42, member.get("since_contact_ms").getAsLong());
    }

    @Test
    void reportsWhyTolerableLossesAreUnknownOnAFollower() {
        FaultTolerance unknown = new FaultTolerance(
                OptionalInt.empty(), OptionalInt.empty(), "this process is not the primary", OptionalDouble.empty());
        JsonObject section = configuration(unknown, OptionalDouble.empty());
        assertEquals(
                "this process is not the primary",
                section.get("tolerable_losses_unknown").getAsString());
        assertFalse(section.has("tolerable_losses"));
        assertFalse(section.has("sufficient_ms"));
    }

    @Test
    void reportsGrantedAndRefusedTokensOfTenants() {
        byte[] report = new StatusReport()
                .tenants(List.of(new TenantUsage("acme", 350_000, -1_200.4, 17_020, 400)))
                .toJson();
        assertEquals(
                "{\"tenants\":{\"acme\":{\"rate_per_s\":350000.0,\"available\":-1200,"
                        + "\"granted\":17020,\"refused\":400}}}",
                new String(report, StandardCharsets.UTF_8));
    }
}
