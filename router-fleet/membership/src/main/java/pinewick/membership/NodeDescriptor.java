package pinewick.membership;

import pinewick.model.SocketAddress;

/**
 * One process of the fleet.
 *
 * @param address address at which it receives internal messages, over TCP and UDP
 * @param incarnation increases with each start of a process at that address
 * @param role the plane that it belongs to
 * @param zone name of the zone in which it runs
 */
public record NodeDescriptor(SocketAddress address, long incarnation, NodeRole role, String zone) {}
