package pinewick.dataplane;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import pinewick.dissemination.FleetState;
import pinewick.dissemination.FleetStateListener;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;
import pinewick.model.InvalidConfigurationException;
import pinewick.model.Message;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.RequestLimits;
import pinewick.model.RoutingTable;
import pinewick.model.ServiceSpec;
import pinewick.model.SocketAddress;
import pinewick.quota.FallbackAllowance;
import pinewick.quota.QuotaClient;
import pinewick.selection.AdmissionControl;
import pinewick.selection.ReplicaSelector;
import pinewick.selection.RequestShape;
import pinewick.selection.RetryBudget;

/**
 * The state that all requests of the data plane share: the routing table in force, the replicas and the requests in
 * flight. It is kept up to date by {@link FleetState}.
 */
final class DataPlane implements FleetStateListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MIN_CONNECTIONS = 4;
    /** Timeout for receiving the body of a request without a route. */
    private static final double BODY_TIMEOUT_WITHOUT_ROUTE_MS = 5_000;

    private final SerialExecutor serial;
    private final Timers timers;
    private final ReplicaDirectory directory = new ReplicaDirectory();
    private final RequestRouting routing;
    private final UpstreamPool pool;
    private final DataPlaneServices services;
    private final Set<RequestLifecycle> activeRequests = new HashSet<>();
    private final RequestAdmission requestAdmission;
    private final TenantQuotas quotas;
    private final FallbackAllowance fallbackAllowance;
    private final LoadReportExchange loadReportExchange;
    private final ReportPoller reportPoller;
    private final InFlightLimits inFlightLimits = new InFlightLimits();
    private final ClientDisconnectDetector disconnectDetector;
    private final ByteBuffer readAheadBuffer = BufferUtil.allocateDirect(JettyClientExchange.MAX_READ_AHEAD_BYTES);
    private final List<CompletableFuture<Void>> idleWaiters = new ArrayList<>();
    private final Consumer<RequestLimits> onLimitsChanged;
    private volatile RoutingTable routingTable = RoutingTable.EMPTY;
    private volatile boolean stopping;
    private boolean rejectsNew;
    /** Number of requests that were received completely and whose responses are not fully written. */
    private int openRequests;

    private int routerCountUpperBound = 1;

    /**
     * @param tenancy what authentication and quotas of tenants need
     * @param onLimitsChanged called with the limits in force when they change
     */
    DataPlane(
            SerialExecutor serial,
            Timers timers,
            RetryBudget budget,
            ReplicaSelector selector,
            PairChooser chooser,
            RandomGenerator random,
            Tenancy tenancy,
            Consumer<RequestLimits> onLimitsChanged) {
        this.onLimitsChanged = onLimitsChanged;
        this.serial = serial;
        this.timers = timers;
        this.routing = new RequestRouting(() -> routingTable, directory, random);
        this.disconnectDetector = new ClientDisconnectDetector(timers);
        this.pool = new UpstreamPool(serial, timers, directory, this::connectionLimit);
        this.services = new DataPlaneServices(
                selector, chooser, budget, new KvTransferHealth(), directory, pool, new BufferBudget(), timers, random);
        this.fallbackAllowance = new FallbackAllowance(tenancy.quotaPolicy(), timers.nowMs());
        this.quotas = new TenantQuotas(
                new QuotaClient(tenancy.quotaPeers(), tenancy.outbox(), fallbackAllowance, random), timers);
        this.requestAdmission = new RequestAdmission(
                routing, () -> routingTable, services, new AdmissionControl(selector, random), tenancy, quotas);
        this.loadReportExchange = new LoadReportExchange(selector);
        this.reportPoller = new ReportPoller(services, loadReportExchange::onReport);
    }

    /** Loads the current fleet state and subscribes to its changes. */
    void follow(FleetState state, UpstreamConnector connector) {
        pool.setConnector(connector);
        state.addListener(this);
        onConfigurationChanged(state.configuration());
        state.replicas().forEach(this::onReplicaChanged);
    }

    // ---- fleet state

    @Override
    public void onConfigurationChanged(ConfigurationDocument document) {
        if (document.version() == 0) {
            return;
        }
        try {
            RoutingTable next = ConfigurationChecks.toRoutingTable(document);
            serial.execute(() -> {
                if (next.version() > routingTable.version()) {
                    activate(next);
                }
            });
        } catch (InvalidConfigurationException e) {
            LOGGER.atSevere().withCause(e).log(
                    "configuration %d cannot be read, the previous version stays in force", document.version());
        }
    }

    private void activate(RoutingTable next) {
        boolean limitsChanged = !next.limits().equals(routingTable.limits());
        if (next.tenants().size() != routingTable.tenants().size()) {
            LOGGER.atInfo().log(
                    "configuration %d: %d tenants",
                    next.version(), next.tenants().size());
        }
        routingTable = next;
        next.services().values().forEach(service -> service.engine()
                .ifPresent(engine -> services.selector().setEngine(service.name(), engine)));
        if (limitsChanged) {
            onLimitsChanged.accept(next.limits());
        }
    }

    @Override
    public void onReplicaChanged(ReplicaRecord record) {
        serial.execute(() -> {
            directory.update(record);
            if (record.state() == ReplicaState.GONE) {
                pool.closeIdle(record.instanceId());
                services.selector().removeReplica(record.instanceId());
            }
        });
    }

    /**
     * Sets the number of routers that share the replicas and the retry budget.
     *
     * @param count current estimate of the number of routers
     * @param upperBound upper bound on that number
     */
    void setRouterCounts(int count, int upperBound) {
        serial.execute(() -> {
            routerCountUpperBound = Math.max(1, upperBound);
            services.selector().setRouterCount(Math.max(1, count));
            services.budget().setRouterCount(routerCountUpperBound);
            fallbackAllowance.setRouterCount(routerCountUpperBound, timers.nowMs());
        });
    }

    RoutingTable routingTable() {
        return routingTable;
    }

    DataPlaneServices services() {
        return services;
    }

    /** The maximum number of connections from this router to one replica of a service. */
    private int connectionLimit(String service) {
        int limitOfAllRouters =
                routingTable.service(service).map(ServiceSpec::maxConnections).orElse(0);
        return Math.max(MIN_CONNECTIONS, limitOfAllRouters / routerCountUpperBound);
    }

    /** Closes connections to replicas that were idle for too long. */
    void sweep() {
        serial.execute(pool::sweep);
    }

    /** Checks for disconnected clients now, in addition to the periodic check. */
    void checkDisconnects() {
        serial.execute(disconnectDetector::checkAll);
    }

    /**
     * Polls the load reports of the replicas that this router is responsible for.
     *
     * @param intervalMs until the next invocation
     */
    void pollReports(SocketAddress self, List<SocketAddress> otherRouters, double intervalMs) {
        serial.execute(() -> {
            if (!stopping) {
                reportPoller.poll(self, otherRouters, intervalMs);
            }
        });
    }

    /** Sends the load reports, prefix hints and service times that are new since the last call, if any. */
    void shareLoadReports(Consumer<Message> send) {
        serial.execute(() -> {
            loadReportExchange.takeMessage(timers.nowMs()).ifPresent(send);
            loadReportExchange.takeServiceTimes().ifPresent(send);
        });
    }

    /**
     * Applies load reports and hints of another router.
     *
     * @param forward whether what is new to this router is forwarded
     */
    void onLoadReport(LoadReportMessage message, boolean forward) {
        serial.execute(() -> loadReportExchange.onMessage(message, forward, timers.nowMs()));
    }

    /** Sends this router's estimates of prefix caches and service times to a router that has just started. */
    void sendSnapshot(Consumer<Message> send) {
        serial.execute(() -> {
            send.accept(loadReportExchange.allServiceTimes());
            send.accept(loadReportExchange.snapshot(timers.nowMs()));
        });
    }

    /**
     * Applies service times of another router.
     *
     * @param forward whether what is new to this router is forwarded
     */
    void onServiceTimes(ServiceTimesMessage serviceTimes, boolean forward) {
        serial.execute(() -> loadReportExchange.onServiceTimes(serviceTimes, forward));
    }

    /** Applies the prefix cache estimates that this router has requested from another one. */
    void onSnapshot(PrefixCacheSnapshot snapshot) {
        serial.execute(() -> loadReportExchange.onSnapshot(snapshot, timers.nowMs()));
    }

    /** Handles a message of another process about tenants' quotas. */
    void onQuotaMessage(SocketAddress sender, Message message) {
        serial.execute(() -> quotas.onMessage(sender, message));
    }

    /**
     * Whether this router's configuration is recent enough to accept requests with a tenant's key. May be called on any
     * thread.
     */
    boolean isServing() {
        return requestAdmission.isServing(routingTable);
    }

    InFlightLimits inFlightLimits() {
        return inFlightLimits;
    }

    // ---- requests

    /** Accepts a complete request. May be called on any thread. */
    void accept(ClientRequest clientRequest, Request request, Response response, Callback callback) {
        serial.execute(() -> {
            openRequests++;
            begin(clientRequest, request, response, callback);
        });
    }

    /**
     * Runs a task at the deadline of a request, which its route and its client determine. May be called on any thread;
     * the task runs on the data plane's executor.
     */
    Timers.Timer scheduleAtDeadline(Request request, Runnable task) {
        double timeoutMs = routing.find(request)
                .map(route -> ClientDeadline.timeoutMs(request.getHeaders(), route.timeoutMs()))
                .orElse(BODY_TIMEOUT_WITHOUT_ROUTE_MS);
        return timers.schedule(RequestRouting.arrivedAtMs(request) + timeoutMs - timers.nowMs(), task);
    }

    private void begin(ClientRequest clientRequest, Request request, Response response, Callback callback) {
        JettyClientExchange client = new JettyClientExchange(
                request, response, callback, serial, () -> stopping, readAheadBuffer, this::onResponseComplete);
        Optional<RequestAdmission.Admitted> admitted =
                requestAdmission.admit(clientRequest, request, client, rejectsNew);
        if (admitted.isEmpty()) {
            return;
        }
        RequestShape shape = admitted.get().shape();
        RequestLifecycle lifecycle = new RequestLifecycle(
                admitted.get().request(), shape, admitted.get().quota(), client, services, activeRequests::remove);
        client.setLifecycle(lifecycle, shape.deadlineAtMs());
        activeRequests.add(lifecycle);
        disconnectDetector.add(client);
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(failure -> serial.execute(() -> client.onDisconnected(failure)));
        lifecycle.start();
    }

    // ---- shutdown

    /** Makes each further response close its connection. */
    void beginStopping() {
        stopping = true;
    }

    /** Completes once every request that was received has its complete response, or its connection is closed. */
    CompletableFuture<Void> whenIdle() {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        serial.execute(() -> {
            idleWaiters.add(idle);
            notifyIfIdle();
        });
        return idle;
    }

    private void onResponseComplete(JettyClientExchange client) {
        disconnectDetector.remove(client);
        openRequests--;
        notifyIfIdle();
    }

    private void notifyIfIdle() {
        if (openRequests == 0 && !idleWaiters.isEmpty()) {
            List<CompletableFuture<Void>> waiters = List.copyOf(idleWaiters);
            idleWaiters.clear();
            waiters.forEach(idle -> idle.complete(null));
        }
    }

    /** Rejects new requests as not executed; those in flight continue. */
    void rejectNewRequests() {
        serial.execute(() -> rejectsNew = true);
    }

    /** Ends all requests in flight with an error, and rejects new ones. */
    void failRemainingRequests() {
        rejectNewRequests();
        serial.execute(() -> List.copyOf(activeRequests).forEach(RequestLifecycle::onShutdown));
    }
}
