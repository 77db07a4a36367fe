package pinewick.dataplane;

import pinewick.model.ReplicaRecord;

/** Sends requests to replicas. */
interface UpstreamClient {
    /** Starts a call. The listener is invoked on the data plane's executor, never before this method returns. */
    UpstreamCall send(ReplicaRecord replica, UpstreamRequest request, CallListener listener);
}
