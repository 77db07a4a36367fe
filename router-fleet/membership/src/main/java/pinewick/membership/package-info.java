/**
 * Membership of the fleet: {@link pinewick.membership.PeerSampling} maintains partial views of the processes by
 * shuffling, {@link pinewick.membership.UnreachablePeers} records peers that stopped answering or left, and {@link
 * pinewick.membership.FleetSizeEstimator} estimates the number of routers. No I/O: messages, time and randomness are
 * passed in.
 */
package pinewick.membership;
