/**
 * What every process of the fleet should know (configuration, replica records), and how it reaches them: epidemic push
 * of what is new, reconciliation by digests for what was missed. Decisions without I/O; time and chance are handed in.
 */
package pinewick.dissemination;
