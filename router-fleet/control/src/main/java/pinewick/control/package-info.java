/**
 * The control plane: the HTTP API for operators and replicas, the failure detector for replicas, and the controller
 * process, which combines membership, dissemination and replication.
 *
 * <p>{@link pinewick.control.Controller} is the process, with its threads, sockets and disk.
 * {@link pinewick.control.ControllerCore} is its logic without I/O, which the simulation runs as well. An API request
 * passes through {@link pinewick.control.ApiServer}, {@link pinewick.control.ApiHandler} and
 * {@link pinewick.control.ApiExchange}, and then, on the control loop, through
 * {@link pinewick.control.ConfigurationEndpoints} (operators) or {@link pinewick.control.ReplicaEndpoints} and
 * {@link pinewick.control.ReplicaRegistry} (replicas).
 * {@link pinewick.control.StageReconciler} moves replicas between stages under a lease.
 */
package pinewick.control;
