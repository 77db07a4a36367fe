package pinewick.selection;

import pinewick.model.WireName;

/**
 * What one router has learnt of a replica's prefix cache, sent to the other routers.
 *
 * @param instanceId the replica
 * @param chainHash names the prefix that ends with this part
 * @param tokens length of this part alone
 * @param ageMs how long ago it was used, when the message was made
 * @param unsharedTokens length of the unshared parts that the replica has cached besides, which evict others
 */
public record PrefixHint(
        String instanceId, long chainHash, int tokens, int ageMs, @WireName("ballastTokens") int unsharedTokens) {}
