package pinewick.control;

import com.google.common.flogger.FluentLogger;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.model.ConfigurationDocument;
import pinewick.replication.ReplicationListener;

/** Tells the fleet of committed configurations, and logs what the replication does. Called on the control loop. */
final class CommittedConfigurations implements ReplicationListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final FleetState state;
    private final FleetNode node;
    private final TaskLoop loop;
    private String lastEvent = "";

    CommittedConfigurations(FleetState state, FleetNode node, TaskLoop loop) {
        this.state = state;
        this.node = node;
        this.loop = loop;
    }

    /** What the replication noted last. */
    String lastEvent() {
        return lastEvent;
    }

    @Override
    public void onCommitted(ConfigurationDocument document) {
        if (state.offer(document)) {
            node.configurationCommitted(loop.nowMs());
        }
    }

    @Override
    public void onEvent(String event) {
        lastEvent = event;
        logger.atInfo().log("configuration store: %s", event);
    }
}
