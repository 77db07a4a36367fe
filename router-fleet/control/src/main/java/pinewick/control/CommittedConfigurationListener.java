package pinewick.control;

import com.google.common.flogger.FluentLogger;
import pinewick.dissemination.FleetNode;
import pinewick.dissemination.FleetState;
import pinewick.model.ConfigurationDocument;
import pinewick.replication.ReplicationListener;

/** Passes committed configurations to dissemination, and logs the events of the replication. Control loop only. */
final class CommittedConfigurationListener implements ReplicationListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetState state;
    private final FleetNode node;
    private final TaskLoop loop;
    private String lastEvent = "";

    CommittedConfigurationListener(FleetState state, FleetNode node, TaskLoop loop) {
        this.state = state;
        this.node = node;
        this.loop = loop;
    }

    /** The last event of the replication, empty if there was none. */
    String lastEvent() {
        return lastEvent;
    }

    @Override
    public void onCommitted(ConfigurationDocument document) {
        if (state.offer(document)) {
            node.publishConfiguration(loop.nowMs());
        }
    }

    @Override
    public void onEvent(String event) {
        lastEvent = event;
        LOGGER.atInfo().log("replication: %s", event);
    }
}
