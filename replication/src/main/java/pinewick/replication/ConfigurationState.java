package pinewick.replication;

import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;

/** What is replicated: the configuration, the changes accepted lately, and the tag that names both. Immutable. */
record ConfigurationState(StateTag tag, ConfigurationDocument document, AcceptedChanges changes) {
    static final ConfigurationState NONE =
            new ConfigurationState(StateTag.NONE, ConfigurationDocument.EMPTY, AcceptedChanges.NONE);

    ConfigurationState withTag(StateTag newTag) {
        return new ConfigurationState(newTag, document, changes);
    }

    /** The state after a change. */
    ConfigurationState apply(StateTag newTag, byte[] delta, ChangeKey key) {
        ConfigurationDocument changed = ConfigurationChecks.readDelta(delta).applyTo(document);
        return new ConfigurationState(newTag, changed, changes.with(key));
    }

    /** The whole document as a delta. */
    byte[] documentBytes() {
        return ConfigurationChecks.writeDelta(ConfigurationDelta.between(ConfigurationDocument.EMPTY, document));
    }

    static ConfigurationState fromBytes(StateTag tag, byte[] document, byte[] changes) {
        ConfigurationDocument whole = ConfigurationChecks.readDelta(document).applyTo(ConfigurationDocument.EMPTY);
        return new ConfigurationState(tag, whole, AcceptedChanges.fromBytes(changes));
    }
}
