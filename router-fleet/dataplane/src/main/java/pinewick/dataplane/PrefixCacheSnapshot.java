package pinewick.dataplane;

import java.util.List;
import pinewick.model.Message;
import pinewick.selection.PrefixHint;

/**
 * The reply to {@link PrefixCacheSnapshotRequest}. Best effort, like hints: a router that receives none learns from its
 * own calls and from later hints.
 *
 * @param hints the most recently used prefixes of each replica, newest first
 */
public record PrefixCacheSnapshot(List<PrefixHint> hints) implements Message {
    public PrefixCacheSnapshot {
        hints = List.copyOf(hints);
    }
}
