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
 * The state of the data plane that requests share: the routing table in force, the replicas, the requests in flight.
 * Follows {@link FleetState}.
 */
final class DataPlane implements FleetStateListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MIN_CONNECTIONS = 4;
    /** Timeout of a request's body if there is no route for it. */
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
    /** Requests that were received completely and whose responses were not fully written. */
    private int openRequests;

    private int routerCountUpperBound = 1;

    /**
     * @param tenancy keys and limits of tenants
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
                selector, chooser, budget, new KvTransferHealth(), directory, pool, timers, random);
        this.fallbackAllowance = new FallbackAllowance(tenancy.quotaPolicy(), timers.nowMs());
        this.quotas = new TenantQuotas(
                new QuotaClient(tenancy.quotaPeers(), tenancy.outbox(), fallbackAllowance, random), timers);
        this.requestAdmission = new RequestAdmission(
                routing, () -> routingTable, services, new AdmissionControl(selector, random), tenancy, quotas);
        this.loadReportExchange = new LoadReportExchange(selector);
        this.reportPoller = new ReportPoller(services, loadReportExchange::onReport);
    }

    /** Takes over the fleet's state, and listens to its changes. */
    void follow(FleetState state, UpstreamConnector connector) {
        pool.setConnector(connector);
        state.addListener(this);
        onConfigurationChanged(state.configuration());
        state.replicas().forEach(this::onReplicaChanged);
    }

    // ---- what the fleet knows

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

    /** How many routers share the replicas and the retry budget. */
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

    /** Most connections of this router to one replica of a service. */
    private int connectionLimit(String service) {
        int limitOfAllRouters =
                routingTable.service(service).map(ServiceSpec::maxConnections).orElse(0);
        return Math.max(MIN_CONNECTIONS, limitOfAllRouters / routerCountUpperBound);
    }

    /** Closes connections to replicas that were idle too long. */
    void sweep() {
        serial.execute(pool::sweep);
    }

    /** Checks for disconnected clients now, which is otherwise done periodically. */
    void checkDisconnects() {
        serial.execute(disconnectDetector::checkAll);
    }

    /**
     * Polls the load of those replicas that this router is responsible for.
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

    /** Sends the load reports, hints and paces since the last call, if there are any. */
    void shareLoadReports(Consumer<Message> send) {
        serial.execute(() -> {
            loadReportExchange.takeMessage(timers.nowMs()).ifPresent(send);
            loadReportExchange.takeServiceTimes().ifPresent(send);
        });
    }

    /**
     * A message of another router arrived.
     *
     * @param forward whether what is new here is sent on
     */
    void onLoadReport(LoadReportMessage message, boolean forward) {
        serial.execute(() -> loadReportExchange.onMessage(message, forward, timers.nowMs()));
    }

    /** Sends what this router has learnt of prefix caches and service times. */
    void sendSnapshot(Consumer<Message> send) {
        serial.execute(() -> {
            send.accept(loadReportExchange.allServiceTimes());
            send.accept(loadReportExchange.snapshot(timers.nowMs()));
        });
    }

    /**
     * Another router has told of service times.
     *
     * @param forward whether what is new here is sent on
     */
    void onServiceTimes(ServiceTimesMessage serviceTimes, boolean forward) {
        serial.execute(() -> loadReportExchange.onServiceTimes(serviceTimes, forward));
    }

    /** The estimates of another router arrived. */
    void onSnapshot(PrefixCacheSnapshot snapshot) {
        serial.execute(() -> loadReportExchange.onSnapshot(snapshot, timers.nowMs()));
    }

    /** Another process has sent a message about limits of tenants. */
    void onQuotaMessage(SocketAddress sender, Message message) {
        serial.execute(() -> quotas.onMessage(sender, message));
    }

    /** Whether this router knows the keys of tenants well enough to serve requests with one. Any thread. */
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
     * Runs a task at the deadline of a request, by its route and its client. May be called on any thread; the task runs
     * on the data plane's executor.
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

    // ---- the end

    /** From now on each response closes its connection. */
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
