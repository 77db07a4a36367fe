/**
 * The data plane of a router: accepts client requests, chooses replicas for them, runs prefill, KV transfer and decode,
 * retries failed attempts, and forwards responses and streams.
 *
 * <p>{@link pinewick.dataplane.RequestLifecycle} is the state machine of one request, and
 * {@link pinewick.dataplane.UpstreamAttempt} that of one call to a replica; neither performs I/O itself.
 * {@link pinewick.dataplane.DataPlane} owns the state that requests share. The Jetty classes around them only adapt.
 *
 * <p>Threading: all state of this package is owned by one {@link pinewick.dataplane.SerialExecutor} (the data plane's
 * executor); Jetty's threads only submit tasks to it. {@link pinewick.dataplane.FleetConnection} has a control loop of
 * its own and publishes changes through {@link pinewick.dissemination.FleetStateListener}.
 */
package pinewick.dataplane;
