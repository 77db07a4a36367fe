/**
 * The whole control side in virtual time: controllers with their API, registry and disks, routers, replicas and
 * operators, under faults that follow from a seed, checked against what must hold.
 */
package pinewick.emulator.control;
