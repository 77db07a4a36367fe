/**
 * The documents that the whole fleet shares: the operator's configuration, the records of replicas, and the checks
 * that refuse a wrong one. No I/O, no threads.
 */
package pinewick.model;
