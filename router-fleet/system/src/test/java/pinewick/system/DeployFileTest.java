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

/** Tests that the deploy files refer to existing programs, machines, files and packages. */
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

        assertTrue(program.getString("run").startsWith("java -"), "the program is run directly, without a shell");
        assertTrue(program.getString("run").endsWith(" -jar target/pinewick-system.jar " + role));
        assertEquals(machineClass, program.getString("on"));
        assertEquals(1.0, program.getDouble("share"));
        assertEquals(List.of(serves), program.getArray("serves").toList());
    }

    /**
     * The virtual machine uses a class archive only if its memory flags equal those with which the archive was created.
     */
    @ParameterizedTest
    @CsvSource({"router", "controller"})
    void createsTheArchiveWithTheFlagsItIsUsedWith(String role) throws IOException {
        List<String> archiveFlags = flags(deploy().getString("build"));
        List<String> runFlags = flags(deploy().getTable(List.of("roles", role)).getString("run"));

        assertTrue(
                archiveFlags.contains("-XX:ArchiveClassesAtExit=target/pinewick-system.jsa"), archiveFlags.toString());
        assertTrue(runFlags.contains("-XX:SharedArchiveFile=target/pinewick-system.jsa"), runFlags.toString());
        for (String flag : List.of("-XX:+UseSerialGC", "-Djava.net.preferIPv4Stack=true")) {
            assertTrue(archiveFlags.contains(flag) && runFlags.contains(flag), flag);
        }
    }

    @Test
    void buildsOnlyInTheTargetDirectory() throws IOException {
        String build = deploy().getString("build");

        assertTrue(build.startsWith("mvn -q -DskipTests -pl :pinewick-system -am package && java "), build);
        assertTrue(build.endsWith(" -jar target/pinewick-system.jar rehearse > target/rehearsal.log 2>&1"), build);
        assertFalse(build.contains("/tmp"), build);
    }

    /** A build machine has only the essential packages of Debian and those listed in the deploy file. */
    @ParameterizedTest
    @ValueSource(strings = {"system.toml", "balancer.toml"})
    void listsThePackageOfEachProgramThatTheBuildCalls(String fileName) throws IOException {
        Map<String, String> packageOfProgram =
                Map.of("mvn", "maven", "java", "openjdk-" + javaRelease() + "-jdk-headless");
        TomlTable deploy = deploy(fileName);
        List<String> packages = packages(deploy);

        for (String command : deploy.getString("build").split("&&|\\|\\||;|\\|")) {
            String program = command.strip().split(" ")[0];
            String requiredPackage = packageOfProgram.get(program);
            assertTrue(requiredPackage != null, "no package is known for the program " + program);
            assertTrue(
                    packages.contains(requiredPackage),
                    program + " requires " + requiredPackage + "; listed: " + packages);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"system.toml", "balancer.toml"})
    void listsEachPackageOnceOnASingleTopLevelLine(String fileName) throws IOException {
        List<String> packages = packages(deploy(fileName));
        String packagesLine = Files.readAllLines(Path.of("..", "..", "deploy", fileName)).stream()
                .takeWhile(line -> !line.startsWith("["))
                .filter(line -> line.startsWith("packages = [\""))
                .findFirst()
                .orElse("");

        assertEquals(packages.size(), new HashSet<>(packages).size(), packages.toString());
        packages.forEach(name -> assertTrue(PACKAGE_NAME.matcher(name).matches(), name));
        assertEquals(packages, quotedWords(packagesLine), "the complete list is on one line");
    }

    private static List<String> packages(TomlTable deploy) {
        assertTrue(deploy.isArray("packages"), "packages are missing");
        return deploy.getArray("packages").toList().stream()
                .map(String.class::cast)
                .toList();
    }

    private static List<String> quotedWords(String line) {
        return Arrays.stream(line.replaceAll("^[^\\[]*\\[|\\]$", "").split(", "))
                .map(word -> word.replace("\"", ""))
                .toList();
    }

    private static String javaRelease() throws IOException {
        Matcher release = JAVA_RELEASE.matcher(Files.readString(Path.of("..", "..", "pom.xml")));
        assertTrue(release.find(), "the build specifies the Java release");
        return release.group(1);
    }

    private static List<String> flags(String command) {
        return FLAG.matcher(command).results().map(result -> result.group()).toList();
    }
}
