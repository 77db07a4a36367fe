package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigurationDeltaTest {
    @Test
    void carriesOnlyTheItemThatChanged() throws InvalidConfigurationException {
        ConfigurationDocument from = SampleDocuments.whole();
        String changed = SampleDocuments.WHOLE
                .replace("\"version\":7", "\"version\":9")
                .replace("3000,\"target", "3000.0,\"target");
        ConfigurationDocument to = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(changed));
        ConfigurationDelta delta = ConfigurationDelta.between(from, to);

        assertNotEquals(from, to);
        assertEquals(Set.of("routes"), delta.upserts().keySet());
        assertEquals(Set.of("r-2"), delta.upserts().get("routes").keySet());
        assertEquals(Map.of(), delta.removals());
    }

    @Test
    void keepsTheOrderOfAReplacementThatTurnsTheItemsRound() throws InvalidConfigurationException {
        ConfigurationDocument from = SampleDocuments.whole();
        ConfigurationDocument to = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(SampleDocuments.WHOLE
                .replace("\"version\":7", "\"version\":9")
                .replace("r-1", "r-x")
                .replace("r-2", "r-1")
                .replace("r-x", "r-2")));

        assertEquals(
                SampleDocuments.json(to),
                SampleDocuments.json(ConfigurationDelta.between(from, to).applyTo(from)));
    }

    @Test
    void doesNotApplyToAnotherVersion() throws InvalidConfigurationException {
        ConfigurationDocument document = SampleDocuments.whole();
        ConfigurationDelta delta = ConfigurationDelta.between(document, document);

        assertThrows(IllegalArgumentException.class, () -> delta.applyTo(ConfigurationDocument.EMPTY));
    }

    @Test
    void isShorterThanItsText() throws InvalidConfigurationException {
        ConfigurationDelta delta = ConfigurationDelta.between(ConfigurationDocument.EMPTY, SampleDocuments.whole());

        assertTrue(ConfigurationChecks.writeDelta(delta).length < SampleDocuments.WHOLE.length() * 2 / 3);
    }

    @Test
    void isNotReadFromCorruptBytes() throws InvalidConfigurationException {
        ConfigurationDocument whole = SampleDocuments.whole();
        for (ConfigurationDelta delta : List.of(
                ConfigurationDelta.between(ConfigurationDocument.EMPTY, whole),
                ConfigurationDelta.between(whole, whole))) {
            byte[] sound = ConfigurationChecks.writeDelta(delta);
            for (int bit = 0; bit < sound.length * Byte.SIZE; bit++) {
                byte[] spoilt = Arrays.copyOf(sound, sound.length);
                spoilt[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
                assertThrows(IllegalArgumentException.class, () -> ConfigurationChecks.readDelta(spoilt), "bit " + bit);
            }
        }
    }
}
