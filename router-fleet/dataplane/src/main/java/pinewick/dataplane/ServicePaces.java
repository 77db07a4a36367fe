package pinewick.dataplane;

import java.util.List;
import pinewick.model.Message;
import pinewick.selection.SharedServiceTime;

/**
 * Sent by a router to other routers when it is the first to have learnt how long a kind of call takes, and to one that
 * has just started. Best effort: a router without it learns from its own calls.
 *
 * @param paces one for each service and kind of call
 */
public record ServicePaces(List<SharedServiceTime> paces) implements Message {
    public ServicePaces {
        paces = List.copyOf(paces);
    }
}
