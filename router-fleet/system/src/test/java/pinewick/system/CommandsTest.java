package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CommandsTest {
    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = Commands.newCommandLine();
        commandLine.setOut(new PrintWriter(out, true));
        commandLine.setErr(new PrintWriter(err, true));
        return commandLine.execute(args);
    }

    private String file(String text) throws IOException {
        return Files.writeString(directory.resolve("file"), text).toString();
    }

    @Test
    void checksSettings() throws IOException {
        assertEquals(0, run("check-settings", file(SampleSettings.ROUTER)));
        assertEquals(
                "settings of frontend-sala-mi-1 in sala-mi are valid",
                out.toString().strip());
    }

    @Test
    void reportsEverySettingsErrorOnASeparateLine() throws IOException {
        String text = SampleSettings.ROUTER
                .replace("heartbeat_ms = 1200", "heartbeat_ms = true")
                .replace("zone = ", "zone_ = ");

        assertEquals(2, run("check-settings", file(text)));
        assertEquals(
                "zone is missing; name the zone of this machine\nheartbeat_ms is true; give a number from 0 up",
                err.toString().strip());
    }

    @Test
    void checksAConfiguration() throws IOException {
        assertEquals(0, run("check-config", file("{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"s\"}]}")));
        assertEquals(
                "configuration 3 is valid: 0 routes, 1 services", out.toString().strip());
    }

    @Test
    void reportsTheErrorsOfAConfiguration() throws IOException {
        assertEquals(2, run("check-config", file("{\"version\":0,\"routes\":[],\"services\":[{}]}")));
        assertEquals(
                "services[0].name: is missing or no text; give each item a name\n"
                        + "configuration.version: 0 is not a whole number above 0",
                err.toString().strip());
    }

    @Test
    void reportsTheErrorsOfTenantsWithoutRevealingKeys() throws IOException {
        String tenants = "{'name':'a','api_keys':['sk-secret-1']},{'name':'a','api_keys':'sk-secret-2'},"
                + "{'name':'b','api_keys':['sk-secret-1',''],'unit':7,'rate_per_s':-1,'burst_size':-1},7";
        String body = "{'version':3,'routes':[],'services':[],'tenants':[" + tenants + "]}";

        assertEquals(2, run("check-config", file(body.replace('\'', '"'))));
        assertEquals(
                """
                tenants/a.name: is used twice; give each item a name of its own
                tenants[3].name: is missing or no text; give each item a name
                tenants/a.api_keys: is not a list
                tenants/b.api_keys[1]: is empty or no text; give each key as a text
                tenants/b.rate_per_s: is below 0; give a number from 0 up
                tenants/b.burst_size: is below 0; give a number from 0 up
                tenants/b.unit: is not a text; put it in quotes""",
                err.toString().strip());
    }

    @Test
    void reportsAKeyThatTenantsShareByItsFingerprint() throws IOException {
        String body = "{'version':3,'routes':[],'services':[],'tenants':["
                + "{'name':'a','api_keys':['sk-secret-1']},{'name':'b','api_keys':['sk-secret-1']}]}";

        assertEquals(2, run("check-config", file(body.replace('\'', '"'))));
        assertEquals(
                "tenants/a.api_keys: shares a key (fingerprint 07fd3265) with tenant 'b'; "
                        + "give each tenant keys of its own\n"
                        + "tenants/b.api_keys: shares a key (fingerprint 07fd3265) with tenant 'a'; "
                        + "give each tenant keys of its own",
                err.toString().strip());
    }

    @Test
    void reportsAnUnreadableFile() {
        assertEquals(2, run("check-config", directory.resolve("none").toString()));
        assertTrue(err.toString().strip().endsWith("; name a readable file"), err.toString());
    }

    @Test
    void queriesTheStatusOfAProcess() throws IOException {
        try (FakeReplica fakeProcess = new FakeReplica("i", "", InetAddress.getByName("127.0.0.1"))) {
            assertEquals(0, run("status", fakeProcess.address().toString()));
        }
        assertEquals("200 plain", out.toString().strip());
    }

    @Test
    void reportsAProcessThatDoesNotRespond() throws IOException {
        FakeReplica fakeProcess = new FakeReplica("i", "", InetAddress.getByName("127.0.0.1"));
        fakeProcess.close();

        assertEquals(1, run("status", fakeProcess.address().toString()));
        assertTrue(err.toString().startsWith(fakeProcess.address() + " does not respond: "), err.toString());
        assertEquals(2, run("status", "nowhere"));
    }

    @Test
    void printsTheVersion() {
        assertEquals(0, run("version"));
        assertTrue(out.toString().startsWith("pinewick-system "), out.toString());
    }

    @Test
    void rejectsUnknownArgumentsAndHidesTheRehearseCommand() {
        assertEquals(2, run("dance"));
        assertEquals(2, run());
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("check-settings"));
        assertFalse(out.toString().contains("rehearse"));
    }
}
