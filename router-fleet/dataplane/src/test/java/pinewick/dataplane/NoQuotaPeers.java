package pinewick.dataplane;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaPeers;

/** A router that knows no other process. */
final class NoQuotaPeers implements QuotaPeers {
    @Override
    public Optional<SocketAddress> primary() {
        return Optional.empty();
    }

    @Override
    public List<SocketAddress> controllers() {
        return List.of();
    }

    @Override
    public List<SocketAddress> routers() {
        return List.of();
    }
}
