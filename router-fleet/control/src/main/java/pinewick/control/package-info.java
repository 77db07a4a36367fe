/**
 * The control plane: the HTTP API for operators and replicas, the failure detector of replicas, and the assembly of a
 * controller process from membership, dissemination and replication.
 *
 * <p>{@link pinewick.control.Controller} is the process: threads, sockets, disk.
 * {@link pinewick.control.ControllerCore} is the same without I/O, which the simulation runs too. A request of the API
 * passes {@link pinewick.control.ApiServer}, {@link pinewick.control.ApiHandler}, {@link pinewick.control.ApiExchange}
 * and then, on the control loop, {@link pinewick.control.ConfigurationEndpoints} (operators) or
 * {@link pinewick.control.ReplicaEndpoints} and {@link pinewick.control.ReplicaRegistry} (replicas).
 * {@link pinewick.control.StageReconciler} moves replicas between stages under a lease.
 */
package pinewick.control;
