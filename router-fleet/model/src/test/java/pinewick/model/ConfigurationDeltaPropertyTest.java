package pinewick.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ConfigurationDeltaPropertyTest {
    @Provide
    Arbitrary<ConfigurationDocument> older() {
        return GeneratedDocuments.ofVersion(3);
    }

    @Provide
    Arbitrary<ConfigurationDocument> newer() {
        return GeneratedDocuments.ofVersion(5);
    }

    @Property
    void convertsAnyDocumentIntoAnyOther(
            @ForAll("older") ConfigurationDocument from, @ForAll("newer") ConfigurationDocument to) {
        assertEquals(to, ConfigurationDelta.between(from, to).applyTo(from));
    }

    @Property
    void isUnchangedByEncodingAndDecoding(
            @ForAll("older") ConfigurationDocument from, @ForAll("newer") ConfigurationDocument to) {
        ConfigurationDelta delta = ConfigurationDelta.between(from, to);
        ConfigurationDelta decoded = ConfigurationChecks.readDelta(ConfigurationChecks.writeDelta(delta));

        assertEquals(to, decoded.applyTo(from));
        assertEquals(delta.baseVersion(), decoded.baseVersion());
    }

    @Property
    void containsAFullDocument(@ForAll("newer") ConfigurationDocument to) {
        ConfigurationDelta delta = ConfigurationDelta.between(ConfigurationDocument.EMPTY, to);
        ConfigurationDelta decoded = ConfigurationChecks.readDelta(ConfigurationChecks.writeDelta(delta));

        assertEquals(ConfigurationDelta.FULL_DOCUMENT, decoded.baseVersion());
        assertEquals(to, decoded.applyTo(ConfigurationDocument.EMPTY));
    }

    @Property
    void isEmptyBetweenEqualDocuments(@ForAll("newer") ConfigurationDocument document) {
        ConfigurationDelta delta = ConfigurationDelta.between(document, document);

        assertEquals(0, delta.upserts().size() + delta.removals().size());
    }

    @Property
    void doesNotModifyItsBase(@ForAll("older") ConfigurationDocument from, @ForAll("newer") ConfigurationDocument to) {
        String before = SampleDocuments.json(from);
        ConfigurationDelta.between(from, to).applyTo(from);

        assertEquals(before, SampleDocuments.json(from));
    }

    @Property(tries = 100)
    void rejectsTruncatedBytes(@ForAll("newer") ConfigurationDocument to) {
        byte[] bytes = ConfigurationChecks.writeDelta(ConfigurationDelta.between(ConfigurationDocument.EMPTY, to));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(IllegalArgumentException.class, () -> ConfigurationChecks.readDelta(truncated));
        }
    }
}
