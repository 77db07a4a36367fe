/**
 * The data plane of a router: accepts client requests, chooses replicas for each, drives prefill, KV transfer and
 * decode, retries, and forwards responses and streams.
 *
 * <p>{@link pinewick.dataplane.RequestLifecycle} is the state machine of one request, and {@link
 * pinewick.dataplane.UpstreamAttempt} that of one call to a replica; both are without I/O. {@link
 * pinewick.dataplane.DataPlane} owns what requests share. The Jetty classes around them are thin.
 *
 * <p>Threading: all state of this package is owned by one {@link pinewick.dataplane.SerialExecutor} (the data plane's
 * executor); Jetty's threads only submit tasks to it. {@link pinewick.dataplane.FleetConnection} has a control loop of
 * its own and hands changes over by {@link pinewick.dissemination.FleetStateListener}.
 */
package pinewick.dataplane;
