/**
 * Internal messages between the processes of the fleet: Kryo frames with a protocol version ({@link
 * pinewick.transport.MessageCodec}), over UDP if they fit a datagram and over TCP otherwise ({@link
 * pinewick.transport.NetworkTransport}). Best effort: a message arrives once, not at all, or late; never altered.
 * {@link pinewick.transport.ControlLoop} is the thread that owns the state of a process.
 */
package pinewick.transport;
