package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AcceptedChangesTest {
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

    private static ChangeKey key(int number) {
        return new ChangeKey(number, number + 1, String.format("%064x", number));
    }

    @Test
    void restoresFromBytes() {
        AcceptedChanges changes = AcceptedChanges.NONE.with(key(1)).with(key(2));
        AcceptedChanges read = AcceptedChanges.fromBytes(changes.toBytes());
        assertEquals(OptionalLong.of(2), read.versionOf(1, key(1).digest()));
        assertEquals(OptionalLong.of(3), read.versionOf(2, key(2).digest()));
        assertTrue(read.versionOf(2, key(1).digest()).isEmpty());
    }

    @Test
    void evictsTheOldestBeyondItsCapacity() {
        AcceptedChanges changes = AcceptedChanges.NONE;
        for (int number = 0; number <= AcceptedChanges.CAPACITY; number++) {
            changes = changes.with(key(number));
        }
        assertTrue(changes.versionOf(0, key(0).digest()).isEmpty());
        assertTrue(changes.versionOf(1, key(1).digest()).isPresent());
    }

    @Test
    void computesTheDigestFromKindAndBody() {
        String replaced = ChangeKey.digestOf(new ConfigurationChange(ConfigurationChange.Kind.REPLACE, 1, BODY));
        String updated = ChangeKey.digestOf(new ConfigurationChange(ConfigurationChange.Kind.UPDATE, 1, BODY));
        assertNotEquals(replaced, updated);
        assertEquals(replaced, ChangeKey.digestOf(new ConfigurationChange(ConfigurationChange.Kind.REPLACE, 2, BODY)));
    }
}
