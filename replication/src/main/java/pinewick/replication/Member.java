package pinewick.replication;

import pinewick.model.SocketAddress;

/**
 * A store that has a vote.
 *
 * @param identity drawn at the store's first write; of a founder, its address
 * @param address where its process takes internal messages
 */
public record Member(String identity, SocketAddress address) {}
