package pinewick.dataplane;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.WireName;
import pinewick.selection.SharedServiceTime;

/**
 * Service times of replicas, measured by a router. Sent to other routers when the sender is the first to have measured
 * a kind of call, and to a router that has just started. Best effort: a router that receives none measures its own
 * calls.
 *
 * @param serviceTimes one for each service and kind of call
 */
public record ServiceTimesMessage(@WireName("paces") List<SharedServiceTime> serviceTimes) implements Message {
    public ServiceTimesMessage {
        serviceTimes = List.copyOf(serviceTimes);
    }
}
