package pinewick.lab.scale;

/**
 * The size of a fleet and the durations of its measurements.
 *
 * @param routers hollow routers
 * @param replicas hollow replicas
 * @param realRouters routers that run as separate processes
 * @param routes routes of the smaller configuration
 * @param manyRoutes routes of the larger configuration
 * @param settleSeconds time between the start of all processes and the first measurement
 * @param windowSeconds window in which CPU time and messages are counted
 * @param bytesSeconds window in which bytes are counted
 * @param changes number of small updates of each configuration
 * @param drains number of replicas that drain one after the other
 * @param lossSeconds window in which usage is measured while one controller is down
 * @param maxLifetimeSeconds time limit after which every process is killed unconditionally
 */
public record ScalePlan(
        int routers,
        int replicas,
        int realRouters,
        int routes,
        int manyRoutes,
        int settleSeconds,
        int windowSeconds,
        int bytesSeconds,
        int changes,
        int drains,
        int lossSeconds,
        int maxLifetimeSeconds) {
    /** Number of real controllers, each in its own process. */
    public static final int CONTROLLERS = 3;

    private static final int ROUTERS_PER_PROCESS = 70;

    /** A plan with the durations of a full run. */
    public static ScalePlan full(int routers, int replicas) {
        return new ScalePlan(routers, replicas, 2, 400, 1_700, 12, 15, 10, 5, 5, 10, 280);
    }

    /** A plan with the durations of a quick run. */
    public static ScalePlan quick(int routers, int replicas) {
        return new ScalePlan(routers, replicas, 1, 400, 1_700, 0, 3, 2, 1, 1, 1, 60);
    }

    /** Number of processes that run hollow routers. */
    int workers() {
        return (routers + ROUTERS_PER_PROCESS - 1) / ROUTERS_PER_PROCESS;
    }

    /** Number of hollow routers in one of these processes. */
    int routersOf(int worker) {
        return routers / workers() + (worker < routers % workers() ? 1 : 0);
    }
}
