package pinewick.dataplane;

import java.util.List;
import pinewick.model.Message;
import pinewick.selection.PrefixHint;

/**
 * The answer to {@link PrefixCacheSnapshotRequest}. Best effort, as hints are: a router without it learns from its own
 * calls and from later hints.
 *
 * @param hints of each replica the prefixes that were used last, the newest first
 */
public record PrefixCacheSnapshot(List<PrefixHint> hints) implements Message {
    public PrefixCacheSnapshot {
        hints = List.copyOf(hints);
    }
}
