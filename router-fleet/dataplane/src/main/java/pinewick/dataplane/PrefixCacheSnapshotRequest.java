package pinewick.dataplane;

import pinewick.model.Message;

/** Sent by a router that has just started to one of the others: asks what replicas have cached. */
public record PrefixCacheSnapshotRequest() implements Message {}
