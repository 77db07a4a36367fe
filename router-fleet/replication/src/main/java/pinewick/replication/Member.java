package pinewick.replication;

import pinewick.model.SocketAddress;

/**
 * A store whose vote counts towards a quorum.
 *
 * @param identity identity of the store: drawn at random before its first write, or the address if the process is a
 *     founder
 * @param address where its process receives internal messages
 */
public record Member(String identity, SocketAddress address) {}
