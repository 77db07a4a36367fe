/**
 * The data model that all processes of the fleet share: the operator's configuration ({@link
 * pinewick.model.ConfigurationDocument}, validated by {@link pinewick.model.ConfigurationChecks}), its typed view
 * {@link pinewick.model.RoutingTable}, replica records and process settings. Immutable types; no I/O, no threads.
 */
package pinewick.model;
