/**
 * The documents that the complete fleet shares: the operator's configuration ({@link
 * pinewick.model.ConfigurationDocument}, validated by {@link pinewick.model.ConfigurationChecks}), its typed view
 * {@link pinewick.model.RoutingTable}, the records of replicas and the settings of a process. Immutable; no I/O, no
 * threads.
 */
package pinewick.model;
