/**
 * The control plane as a library: the operator's API and the heartbeats of replicas on HTTP, the loops that judge which
 * replicas are alive, and the assembly of a controller process from membership, dissemination and replication.
 */
package pinewick.control;
