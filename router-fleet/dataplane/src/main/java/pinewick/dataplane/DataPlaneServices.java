package pinewick.dataplane;

import java.util.random.RandomGenerator;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RetryBudget;

/** The services that all requests share. They are used on the data plane's executor only. */
record DataPlaneServices(
        ReplicaSelector selector,
        PairChooser chooser,
        RetryBudget budget,
        KvTransferHealth kvTransferHealth,
        ReplicaDirectory directory,
        UpstreamClient upstream,
        BufferBudget responseBuffers,
        Timers timers,
        RandomGenerator random) {}
