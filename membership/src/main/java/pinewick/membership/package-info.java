/**
 * Which processes take part in the fleet: peer sampling with shuffled partial views, incarnations, an estimate of the
 * fleet's size. Decisions without I/O; time and chance are handed in.
 */
package pinewick.membership;
