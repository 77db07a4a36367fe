package pinewick.replication;

import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDelta;
import pinewick.model.ConfigurationDocument;

/**
 * The replicated state: the configuration document and the keys of the recently accepted changes, with the version that
 * identifies both. Immutable.
 */
record ConfigurationState(StateVersion version, ConfigurationDocument document, AcceptedChanges changes) {
    static final ConfigurationState NONE =
            new ConfigurationState(StateVersion.NONE, ConfigurationDocument.EMPTY, AcceptedChanges.NONE);

    ConfigurationState withVersion(StateVersion newVersion) {
        return new ConfigurationState(newVersion, document, changes);
    }

    /** The state with this version after a change. */
    ConfigurationState apply(StateVersion newVersion, byte[] delta, ChangeKey key) {
        ConfigurationDocument changed = ConfigurationChecks.readDelta(delta).applyTo(document);
        return new ConfigurationState(newVersion, changed, changes.with(key));
    }

    /** The whole document, encoded as a delta from the empty one. */
    byte[] documentBytes() {
        return ConfigurationChecks.writeDelta(ConfigurationDelta.between(ConfigurationDocument.EMPTY, document));
    }

    static ConfigurationState fromBytes(StateVersion version, byte[] document, byte[] changes) {
        ConfigurationDocument full = ConfigurationChecks.readDelta(document).applyTo(ConfigurationDocument.EMPTY);
        return new ConfigurationState(version, full, AcceptedChanges.fromBytes(changes));
    }
}
