package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tomlj.Toml;
import org.tomlj.TomlTable;

/** The deploy file names programs, machines and files that exist. */
class DeployFileTest {
    private static final Pattern FLAG = Pattern.compile("-(X[^ ]*|D[^ ]*)");

    private static TomlTable deploy() throws IOException {
        return Toml.parse(Path.of("..", "deploy", "system.toml"));
    }

    @ParameterizedTest
    @CsvSource({"router, frontend, frontend", "controller, core, control_plane"})
    void runsEachProgramOnItsMachines(String role, String machineClass, String serves) throws IOException {
        TomlTable program = deploy().getTable(List.of("roles", role));

        assertTrue(program.getString("run").startsWith("java -"), "no shell and no helper");
        assertTrue(program.getString("run").endsWith(" -jar target/pinewick-system.jar " + role));
        assertEquals(machineClass, program.getString("on"));
        assertEquals(1.0, program.getDouble("share"));
        assertEquals(List.of(serves), program.getArray("serves").toList());
    }

    /** An archive is only used by a machine whose flags for memory are those it was made with. */
    @ParameterizedTest
    @CsvSource({"router", "controller"})
    void recordsTheArchiveWithTheFlagsItIsUsedWith(String role) throws IOException {
        List<String> made = flags(deploy().getString("build"));
        List<String> used = flags(deploy().getTable(List.of("roles", role)).getString("run"));

        assertTrue(made.contains("-XX:ArchiveClassesAtExit=target/pinewick-system.jsa"), made.toString());
        assertTrue(used.contains("-XX:SharedArchiveFile=target/pinewick-system.jsa"), used.toString());
        for (String flag : List.of("-XX:+UseSerialGC", "-Djava.net.preferIPv4Stack=true")) {
            assertTrue(made.contains(flag) && used.contains(flag), flag);
        }
    }

    @Test
    void buildsNothingOutsideTheTargetFolder() throws IOException {
        String build = deploy().getString("build");

        assertTrue(build.startsWith("mvn -q -DskipTests -pl system -am package && java "), build);
        assertTrue(build.endsWith(" -jar target/pinewick-system.jar rehearse > target/rehearsal.log 2>&1"), build);
        assertFalse(build.contains("/tmp"), build);
    }

    private static List<String> flags(String command) {
        return FLAG.matcher(command).results().map(result -> result.group()).toList();
    }
}
