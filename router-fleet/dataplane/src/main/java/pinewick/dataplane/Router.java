package pinewick.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import pinewick.dissemination.Confirmation;
import pinewick.dissemination.FleetNode;
import pinewick.model.Message;
import pinewick.model.NodeSettings;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaPolicy;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RetryBudget;

/**
 * The router program: accepts client requests, follows the fleet's configuration and replicas, and forwards requests to
 * replicas.
 *
 * <p>A router needs controllers only to start and to learn of changes. While none can be reached, it stays ready and
 * continues with the configuration and the replica records that it has; removed and lapsed replicas it can learn of
 * only from other routers. A router that starts during that time gets both from other routers, and responds 503 instead
 * of 404 until a controller in contact with a quorum has confirmed its configuration ({@link #knowsRoutes}).
 */
public final class Router {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double MS_PER_SECOND = 1e3;
    private static final long REFRESH_INTERVAL_MS = 500;

    /**
     * How long the platform takes to notice that a router is not ready: it checks readiness every second and stops
     * sending connections after two failed checks.
     */
    private static final long READINESS_NOTICE_MS = 2_500;

    /** Number of file descriptors reserved for files, peers and replicas; the rest are for clients. */
    private static final int OTHER_DESCRIPTORS = 900;

    /** Part of the grace period that is reserved for closing after the last response. */
    private static final long CLOSE_MARGIN_MS = 1_000;

    private final NodeSettings settings;
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    private volatile boolean stopping;
    private FleetConnection fleet;
    private PrefixCacheBootstrap bootstrap;
    private DataPlane dataPlane;
    private HttpFrontend frontend;

    public Router(NodeSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts serving: first peers, then clients. The router is ready once it is synchronised with the fleet.
     *
     * @throws RouterException if an address cannot be used
     */
    public void start() throws RouterException {
        SplittableRandom random =
                new SplittableRandom(System.nanoTime() ^ settings.nodeName().hashCode());
        fleet = new FleetConnection(settings, random.split());
        startTimers();
        SerialExecutor serial = new SerialExecutor();
        NodeSettings.Bounds bounds = settings.bounds();
        RetryBudget budget = new RetryBudget(
                bounds.retryBudgetRatio(), bounds.retryBudgetSlack(), bounds.budgetWindowSeconds() * MS_PER_SECOND);
        ReplicaSelector selector = new ReplicaSelector(random.split());
        selector.setLocality(settings.zone(), settings.zones());
        dataPlane = new DataPlane(
                serial,
                new JettyTimers(scheduler, serial),
                budget,
                selector,
                PairChooser.of(selector),
                random.split(),
                tenancy(),
                limits -> frontend.setLimits(limits));
        frontend = new HttpFrontend(
                dataPlane,
                this::isReady,
                scheduler,
                addressOf("frontend"),
                addressOf("readiness"),
                settings.limits().fileDescriptors() - OTHER_DESCRIPTORS);
        frontend.start();
        dataPlane.follow(fleet.state(), frontend.upstream());
        bootstrap = new PrefixCacheBootstrap(fleet.self().incarnation(), random.split());
        fleet.start(new RouterMessages());
        fleet.repeat(this::refresh, REFRESH_INTERVAL_MS);
        fleet.repeatAtVariableInterval(this::pollReports, LoadReportIntervals::pollIntervalMs);
        fleet.repeatAtVariableInterval(
                () -> dataPlane.shareLoadReports(fleet::sendToRouters), LoadReportIntervals::shareIntervalMs);
        WarmUp.run(addressOf("frontend"), addressOf("readiness"), dataPlane.services());
    }

    private Tenancy tenancy() {
        NodeSettings.Bounds bounds = settings.bounds();
        QuotaPolicy quotaPolicy = new QuotaPolicy(
                bounds.quotaWindowSeconds() * MS_PER_SECOND, bounds.quotaOverage(), bounds.quotaSlack());
        ConfigurationStatus status = new ConfigurationStatus() {
            @Override
            public boolean isConfirmedSinceStart() {
                return knowsRoutes();
            }

            @Override
            public Confirmation lastConfirmation() {
                return fleet.node().freshness();
            }
        };
        return new Tenancy(bounds, status, quotaPolicy, fleet, fleet::send);
    }

    private void startTimers() throws RouterException {
        try {
            scheduler.start();
        } catch (Exception e) {
            // Jetty's lifecycle methods declare Exception.
            throw new RouterException("starting the timers", settings.nodeName(), e);
        }
    }

    private SocketAddress addressOf(String listener) throws RouterException {
        return (listener.equals("frontend") ? settings.frontend() : settings.readiness())
                .orElseThrow(() -> new RouterException(
                        "reading the settings",
                        settings.nodeName(),
                        new IllegalArgumentException("no listen address for " + listener)));
    }

    private boolean isReady() {
        return !stopping && hasConfiguration() && dataPlane.isServing();
    }

    private boolean hasConfiguration() {
        return fleet.node().isSynchronised() && dataPlane.routingTable().version() > 0;
    }

    /**
     * Whether a missing route is known not to exist. A configuration from partitioned controllers may lack routes, so
     * 404 is sent only once the configuration is confirmed.
     */
    private boolean knowsRoutes() {
        return hasConfiguration() && fleet.node().isConfigurationConfirmed();
    }

    private void refresh() {
        FleetNode node = fleet.node();
        dataPlane.setRouterCounts(node.routerCount(), node.routerCountUpperBound());
        dataPlane.sweep();
        if (node.isSynchronised()) {
            bootstrap
                    .nextRequest(fleet.otherRouterNodes(), fleet.nowMs())
                    .ifPresent(router -> fleet.send(router, new PrefixCacheSnapshotRequest()));
        }
    }

    private void pollReports() {
        List<SocketAddress> others = fleet.otherRouters();
        dataPlane.pollReports(fleet.self().address(), others, LoadReportIntervals.pollIntervalMs(others.size()));
    }

    /** Passes other routers' messages to the data plane. */
    private final class RouterMessages implements FleetConnection.RouterMessageListener {
        @Override
        public void onLoadReport(LoadReportMessage message) {
            dataPlane.onLoadReport(message, isForwarding());
        }

        @Override
        public void onServiceTimes(ServiceTimesMessage serviceTimes) {
            dataPlane.onServiceTimes(serviceTimes, isForwarding());
        }

        private boolean isForwarding() {
            return LoadReportTargets.isForwarding(fleet.otherRouters().size());
        }

        @Override
        public void onSnapshotRequest(SocketAddress sender) {
            dataPlane.sendSnapshot(message -> fleet.send(sender, message));
        }

        @Override
        public void onQuotaMessage(SocketAddress sender, Message message) {
            dataPlane.onQuotaMessage(sender, message);
        }

        @Override
        public void onSnapshot(PrefixCacheSnapshot snapshot) {
            fleet.execute(() -> bootstrap.onSnapshot(snapshot));
            dataPlane.onSnapshot(snapshot);
        }
    }

    /**
     * Handles a change of the settings file. Only the seeds may change while a process runs, and a router uses them
     * only at its start.
     */
    public void settingsChanged(NodeSettings changed) {
        updateSeeds(changed.seedNodes());
    }

    /** Logs changed seeds. A running router already knows its peers and does not use them. */
    public void updateSeeds(List<SocketAddress> seeds) {
        LOGGER.atInfo().log("settings changed: seeds are %s, in force at the next start", seeds);
    }

    /**
     * Shuts down within the grace period: the router reports not ready at once. New requests are served for as long as
     * the platform needs to notice that. After that they are rejected: the platform continues to send them if it has no
     * other router, and they might not end in time. Requests in flight are awaited; those that do not end in time get
     * an error response.
     */
    public void stop() {
        if (stopping) {
            return;
        }
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(
                        (long) (settings.bounds().gracePeriodSeconds() * MS_PER_SECOND) - CLOSE_MARGIN_MS);
        stopping = true;
        dataPlane.beginStopping();
        try {
            TimeUnit.NANOSECONDS.sleep(
                    Math.min(TimeUnit.MILLISECONDS.toNanos(READINESS_NOTICE_MS), deadlineNanos - System.nanoTime()));
            dataPlane.rejectNewRequests();
            await(dataPlane.whenIdle(), deadlineNanos - System.nanoTime());
            dataPlane.failRemainingRequests();
            await(frontend.closeIdle(), TimeUnit.MILLISECONDS.toNanos(CLOSE_MARGIN_MS / 2));
            fleet.leave();
            frontend.stop();
            scheduler.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            // Whatever step of the shutdown fails, the fleet connection is closed and the process ends.
            LOGGER.atWarning().withCause(e).log("shutdown failed");
        }
        fleet.close();
    }

    /** Waits for at most {@code timeoutNanos}. */
    private static void await(Future<?> future, long timeoutNanos) throws InterruptedException {
        try {
            future.get(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOGGER.atFine().withCause(e).log("shutdown step did not finish in time");
        }
    }
}
