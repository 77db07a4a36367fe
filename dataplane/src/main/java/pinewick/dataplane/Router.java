package pinewick.dataplane;

import java.util.List;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;

/** Placeholder with the shape that {@code system} starts; replaced by the program itself. */
public final class Router {
    public Router(NodeSettings settings) {}

    /** Starts serving. */
    public void start() throws Exception {}

    /** Ends what is under way within the grace period. */
    public void stop() throws Exception {}

    /** Takes note of other seeds. */
    public void updateSeeds(List<SocketAddress> seeds) {}
}
