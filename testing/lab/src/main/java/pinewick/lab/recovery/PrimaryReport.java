package pinewick.lab.recovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A primary's report on the replicated configuration.
 *
 * @param controller index of the controller
 * @param epoch the epoch that it leads
 * @param tolerableLosses number of further machine losses that are tolerable
 * @param inSync internal addresses of the members in sync
 */
record PrimaryReport(int controller, long epoch, int tolerableLosses, Set<String> inSync) {
    /** Parses the configuration section of a controller's status; empty if it is not the primary. */
    static Optional<PrimaryReport> of(int controller, JsonObject configuration) {
        if (!configuration.has("tolerable_losses")) {
            return Optional.empty();
        }
        Set<String> inSync = new HashSet<>();
        for (JsonElement element : configuration.getAsJsonArray("members")) {
            JsonObject member = element.getAsJsonObject();
            if (member.get("in_sync").getAsBoolean()) {
                inSync.add(member.get("address").getAsString());
            }
        }
        return Optional.of(new PrimaryReport(
                controller,
                configuration.get("epoch").getAsLong(),
                configuration.get("tolerable_losses").getAsInt(),
                inSync));
    }
}
