package pinewick.quota;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** The processes that a router may request tokens from, as known at this moment. */
public interface QuotaPeers {
    /** Internal address of the primary controller. */
    Optional<SocketAddress> primary();

    /** Internal addresses of the controllers. */
    List<SocketAddress> controllers();

    /** Internal addresses of other routers. */
    List<SocketAddress> routers();
}
