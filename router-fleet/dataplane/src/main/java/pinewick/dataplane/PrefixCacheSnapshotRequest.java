package pinewick.dataplane;

import pinewick.model.Message;

/** Requests another router's estimates of the replicas' prefix caches; sent by a router that has just started. */
public record PrefixCacheSnapshotRequest() implements Message {}
