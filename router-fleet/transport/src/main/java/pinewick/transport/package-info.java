/**
 * Internal messages between the processes of the fleet: Kryo frames with a protocol version ({@link
 * pinewick.transport.MessageCodec}), sent over UDP if they fit a datagram and over TCP otherwise ({@link
 * pinewick.transport.NetworkTransport}). Delivery is best effort: a message arrives at most once and unaltered,
 * possibly late. {@link pinewick.transport.ControlLoop} is the thread that owns the state of a process.
 */
package pinewick.transport;
