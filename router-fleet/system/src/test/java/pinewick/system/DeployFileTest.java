package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tomlj.Toml;
import org.tomlj.TomlTable;

/** The deploy files name programs, machines, files and packages that exist. */
class DeployFileTest {
    private static final Pattern FLAG = Pattern.compile("-(X[^ ]*|D[^ ]*)");
    private static final Pattern PACKAGE_NAME = Pattern.compile("[a-z0-9][a-z0-9+.-]+");
    private static final Pattern JAVA_RELEASE =
            Pattern.compile("<maven\\.compiler\\.release>(\\d+)</maven\\.compiler\\.release>");

    private static TomlTable deploy() throws IOException {
        return deploy("system.toml");
    }

    private static TomlTable deploy(String fileName) throws IOException {
        return Toml.parse(Path.of("..", "..", "deploy", fileName));
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

        assertTrue(build.startsWith("mvn -q -DskipTests -pl :pinewick-system -am package && java "), build);
        assertTrue(build.endsWith(" -jar target/pinewick-system.jar rehearse > target/rehearsal.log 2>&1"), build);
        assertFalse(build.contains("/tmp"), build);
    }

    /** A machine for builds has the essential packages of Debian and those named here, and nothing else. */
    @ParameterizedTest
    @ValueSource(strings = {"system.toml", "balancer.toml"})
    void namesThePackageOfEachProgramThatTheBuildCalls(String fileName) throws IOException {
        Map<String, String> packageOfProgram =
                Map.of("mvn", "maven", "java", "openjdk-" + javaRelease() + "-jdk-headless");
        TomlTable deploy = deploy(fileName);
        List<String> packages = packages(deploy);

        for (String command : deploy.getString("build").split("&&|\\|\\||;|\\|")) {
            String program = command.strip().split(" ")[0];
            String needed = packageOfProgram.get(program);
            assertTrue(needed != null, "nobody has said which package holds " + program);
            assertTrue(packages.contains(needed), program + " needs " + needed + ", not only " + packages);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"system.toml", "balancer.toml"})
    void namesEachPackageOnceInALineOfItsOwnAtTheTopLevel(String fileName) throws IOException {
        List<String> packages = packages(deploy(fileName));
        String firstLine = Files.readAllLines(Path.of("..", "..", "deploy", fileName)).stream()
                .takeWhile(line -> !line.startsWith("["))
                .filter(line -> line.startsWith("packages = [\""))
                .findFirst()
                .orElse("");

        assertEquals(packages.size(), new HashSet<>(packages).size(), packages.toString());
        packages.forEach(name -> assertTrue(PACKAGE_NAME.matcher(name).matches(), name));
        assertEquals(packages, quoted(firstLine), "the whole list stands in one line");
    }

    private static List<String> packages(TomlTable deploy) {
        assertTrue(deploy.isArray("packages"), "packages are missing");
        return deploy.getArray("packages").toList().stream()
                .map(String.class::cast)
                .toList();
    }

    private static List<String> quoted(String line) {
        return Arrays.stream(line.replaceAll("^[^\\[]*\\[|\\]$", "").split(", "))
                .map(word -> word.replace("\"", ""))
                .toList();
    }

    private static String javaRelease() throws IOException {
        Matcher release = JAVA_RELEASE.matcher(Files.readString(Path.of("..", "..", "pom.xml")));
        assertTrue(release.find(), "the build names its release of Java");
        return release.group(1);
    }

    private static List<String> flags(String command) {
        return FLAG.matcher(command).results().map(result -> result.group()).toList();
    }
}
