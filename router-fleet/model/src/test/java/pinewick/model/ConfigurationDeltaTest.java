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
    void containsOnlyTheChangedItem() throws InvalidConfigurationException {
        ConfigurationDocument from = SampleDocuments.full();
        String changedBody = SampleDocuments.FULL
                .replace("\"version\":7", "\"version\":9")
                .replace("3000,\"target", "3000.0,\"target");
        ConfigurationDocument to = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(changedBody));
        ConfigurationDelta delta = ConfigurationDelta.between(from, to);

        assertNotEquals(from, to);
        assertEquals(Set.of("routes"), delta.upserts().keySet());
        assertEquals(Set.of("r-2"), delta.upserts().get("routes").keySet());
        assertEquals(Map.of(), delta.removals());
    }

    @Test
    void preservesTheOrderOfAReplacementThatSwapsItems() throws InvalidConfigurationException {
        ConfigurationDocument from = SampleDocuments.full();
        ConfigurationDocument to = ConfigurationChecks.parseReplacement(SampleDocuments.bytes(SampleDocuments.FULL
                .replace("\"version\":7", "\"version\":9")
                .replace("r-1", "r-x")
                .replace("r-2", "r-1")
                .replace("r-x", "r-2")));

        assertEquals(
                SampleDocuments.json(to),
                SampleDocuments.json(ConfigurationDelta.between(from, to).applyTo(from)));
    }

    @Test
    void rejectsABaseOfAnotherVersion() throws InvalidConfigurationException {
        ConfigurationDocument document = SampleDocuments.full();
        ConfigurationDelta delta = ConfigurationDelta.between(document, document);

        assertThrows(IllegalArgumentException.class, () -> delta.applyTo(ConfigurationDocument.EMPTY));
    }

    @Test
    void isEncodedInLessSpaceThanTheDocument() throws InvalidConfigurationException {
        ConfigurationDelta delta = ConfigurationDelta.between(ConfigurationDocument.EMPTY, SampleDocuments.full());

        assertTrue(ConfigurationChecks.writeDelta(delta).length < SampleDocuments.FULL.length() * 2 / 3);
    }

    @Test
    void rejectsCorruptBytes() throws InvalidConfigurationException {
        ConfigurationDocument fullDocument = SampleDocuments.full();
        for (ConfigurationDelta delta : List.of(
                ConfigurationDelta.between(ConfigurationDocument.EMPTY, fullDocument),
                ConfigurationDelta.between(fullDocument, fullDocument))) {
            byte[] intact = ConfigurationChecks.writeDelta(delta);
            for (int bit = 0; bit < intact.length * Byte.SIZE; bit++) {
                byte[] corrupt = Arrays.copyOf(intact, intact.length);
                corrupt[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
                assertThrows(
                        IllegalArgumentException.class, () -> ConfigurationChecks.readDelta(corrupt), "bit " + bit);
            }
        }
    }
}
