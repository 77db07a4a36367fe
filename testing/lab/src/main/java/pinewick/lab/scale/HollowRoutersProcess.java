package pinewick.lab.scale;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Controls a process that runs {@link HollowRouters}. */
final class HollowRoutersProcess implements AutoCloseable {
    private final Process process;
    private final BufferedReader responses;
    private final PrintStream commands;
    private final int routers;

    /** Starts the process; {@link #awaitStart} waits until all its routers are running. */
    HollowRoutersProcess(
            FleetAddresses addresses, int worker, int routers, long seed, long maxLifetimeSeconds, Path log)
            throws IOException {
        this.routers = routers;
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms64m",
                "-Xmx" + (128 + 9 * routers) + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss512k",
                "-XX:-UsePerfData",
                "-XX:+ExitOnOutOfMemoryError",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                HollowRouters.class.getName(),
                Integer.toString(addresses.firstPort()),
                Integer.toString(addresses.controllers()),
                Integer.toString(worker),
                Integer.toString(routers),
                Long.toString(seed),
                Long.toString(maxLifetimeSeconds));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        responses = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
    }

    void awaitStart() throws IOException {
        readResponse("start");
    }

    int routers() {
        return routers;
    }

    long pid() {
        return process.pid();
    }

    ProcessUsage usage() {
        return ProcessUsage.of(process.pid());
    }

    /** Sends a command and waits for the response. */
    synchronized JsonObject send(String command) throws IOException {
        commands.println(command);
        return readResponse(command);
    }

    private JsonObject readResponse(String command) throws IOException {
        String line = responses.readLine();
        if (line == null) {
            throw new IOException("hollow router process exited before responding to " + command);
        }
        return JsonParser.parseString(line).getAsJsonObject();
    }

    /** When each of its routers received an update, nanoseconds; 0 if it has not. */
    List<Long> times(String command) throws IOException {
        List<Long> times = new ArrayList<>();
        for (JsonElement time : send(command).getAsJsonArray("at")) {
            times.add(time.getAsLong());
        }
        return times;
    }

    @Override
    public void close() {
        commands.close();
        process.destroy();
    }
}
