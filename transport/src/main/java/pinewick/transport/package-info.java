/**
 * Internal messages between the processes of the fleet: Kryo frames with a protocol version, over UDP where they fit a
 * datagram and over TCP otherwise. Best effort: a message arrives once, not at all, or late; never changed.
 */
package pinewick.transport;
