package pinewick.quota;

import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/** The processes that a router may request tokens from, as currently known. */
public interface QuotaPeers {
    /** Internal address of the primary controller; empty while none is known. */
    Optional<SocketAddress> primary();

    /** Internal addresses of the known controllers. */
    List<SocketAddress> controllers();

    /** Internal addresses of known routers other than this one. */
    List<SocketAddress> routers();
}
