package pinewick.model;

import java.util.Optional;

/**
 * A validated service of the operator's configuration.
 *
 * @param name unique name
 * @param healthCheckPath path of its health check
 * @param maxConnections maximum number of connections that one replica accepts from all routers together
 * @param engine its engine; empty for a service without an engine
 */
public record ServiceSpec(String name, String healthCheckPath, int maxConnections, Optional<EngineSpec> engine) {}
