package pinewick.selection;

import pinewick.model.WireName;

/**
 * Informs other routers that a replica has a part of a prompt in its prefix cache.
 *
 * @param instanceId the replica
 * @param chainHash hash of the prefix that ends with this part
 * @param tokens length of this part alone
 * @param ageMs age of the last use when the message was created, milliseconds
 * @param unsharedTokens length of the unshared parts that the replica has cached as well; they take up capacity and so
 *     evict other parts
 */
public record PrefixHint(
        String instanceId, long chainHash, int tokens, int ageMs, @WireName("ballastTokens") int unsharedTokens) {}
