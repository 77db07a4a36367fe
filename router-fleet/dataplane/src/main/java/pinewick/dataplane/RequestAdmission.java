package pinewick.dataplane;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import pinewick.model.ReplicaRecord;
import pinewick.model.Route;
import pinewick.model.RoutingTable;
import pinewick.model.Tenant;
import pinewick.selection.AdmissionControl;
import pinewick.selection.AdmissionDecision;
import pinewick.selection.RequestShape;

/**
 * Decides whether a request that was received completely is admitted, based on its route, its key, the available
 * replicas and their load. Responds to requests that are not admitted. The tenant's quota is checked later by the
 * request's lifecycle, since that check may have to wait. Used on the data plane's executor only.
 */
final class RequestAdmission {
    private static final double MS_PER_SECOND = 1e3;

    /**
     * {@code Retry-After} while this router does not know the fleet's configuration or any replica of a service, for
     * example after a power loss of the entire fleet: the controllers need some tenths of a second to elect a primary,
     * and replicas report up to one heartbeat interval later. A client retries once and waits for at most a third of
     * its time, so after a shorter wait its only retry would be rejected too.
     */
    private static final double RECOVERY_RETRY_AFTER_SECONDS = 0.6;

    /** Maximum jitter added to the recovery time, so that clients do not retry at the same time. */
    private static final double RECOVERY_RETRY_AFTER_JITTER_SECONDS = 0.5;

    /** {@code Retry-After} while this router shuts down; another router accepts the retry. */
    private static final double STOPPING_RETRY_AFTER_SECONDS = 0.2;

    /**
     * Maximum wait of a client's first attempt for its quota, as a fraction of the target latency; after a rejection
     * this early, a retry can still meet the deadline.
     */
    private static final double QUOTA_WAIT_TARGET_FRACTION = 0.22;

    /**
     * Maximum wait of a client's retry for its quota, as a fraction of the time until its deadline; the client does not
     * retry after a second rejection.
     */
    private static final double QUOTA_WAIT_RETRY_FRACTION = 0.45;

    private final RequestRouting routing;
    private final Supplier<RoutingTable> routingTable;
    private final DataPlaneServices services;
    private final AdmissionControl admissionControl;
    private final ConfigurationStatus configurationStatus;
    private final TenantAuthenticator authenticator;
    private final TenantQuotas quotas;

    /**
     * A request that may be sent once its tenant's quota admits it.
     *
     * @param request the request as it is forwarded to replicas
     * @param shape what the replica selection knows of the request
     * @param quota decides when the tenant's quota admits the request
     */
    record Admitted(ClientRequest request, RequestShape shape, QuotaAdmission quota) {}

    RequestAdmission(
            RequestRouting routing,
            Supplier<RoutingTable> routingTable,
            DataPlaneServices services,
            AdmissionControl admissionControl,
            Tenancy tenancy,
            TenantQuotas quotas) {
        this.routing = routing;
        this.routingTable = routingTable;
        this.services = services;
        this.admissionControl = admissionControl;
        this.configurationStatus = tenancy.configurationStatus();
        this.authenticator = new TenantAuthenticator(tenancy.bounds());
        this.quotas = quotas;
    }

    /**
     * Admits a request, or responds to its client and returns empty.
     *
     * @param rejectsNew whether this router no longer accepts new requests
     */
    Optional<Admitted> admit(ClientRequest clientRequest, Request request, ClientExchange client, boolean rejectsNew) {
        if (rejectsNew) {
            rejectNotExecuted(client, clientRequest.id(), STOPPING_RETRY_AFTER_SECONDS);
            return Optional.empty();
        }
        Optional<Route> route = routing.find(request);
        if (route.isEmpty()) {
            rejectUnrouted(client, clientRequest.id());
            return Optional.empty();
        }
        TenantAuthenticator.Access access = authenticator.authenticate(
                routingTable.get(), route.get(), request.getHeaders(), configurationStatus.lastConfirmation(), nowMs());
        if (access instanceof TenantAuthenticator.Access.Unauthorized) {
            respond(client, clientRequest.id(), HttpStatus.UNAUTHORIZED_401);
            return Optional.empty();
        }
        if (access instanceof TenantAuthenticator.Access.Unconfirmed) {
            rejectNotExecuted(client, clientRequest.id(), recoveryRetryAfterSeconds());
            return Optional.empty();
        }
        Optional<Tenant> tenant = access instanceof TenantAuthenticator.Access.Authenticated known
                ? Optional.of(known.tenant())
                : Optional.empty();
        return admit(clientRequest, request, client, route.get(), tenant);
    }

    /** Whether requests with a known key would be accepted now. May be called on any thread. */
    boolean isServing(RoutingTable current) {
        return authenticator.isServing(current, configurationStatus.lastConfirmation(), nowMs());
    }

    private Optional<Admitted> admit(
            ClientRequest clientRequest, Request request, ClientExchange client, Route route, Optional<Tenant> tenant) {
        Route prioritised = tenant.isPresent() && tenant.get().priority().isPresent()
                ? route.withPriority(tenant.get().priority().getAsInt())
                : route;
        Optional<RequestShape> shape = routing.shapeOf(prioritised, request);
        if (shape.isEmpty()) {
            rejectUnrouted(client, clientRequest.id());
            return Optional.empty();
        }
        Optional<Double> retryAfterSeconds = retryAfterSeconds(shape.get());
        if (retryAfterSeconds.isPresent()) {
            services.budget().onRequest(shape.get().service(), nowMs());
            rejectNotExecuted(client, clientRequest.id(), retryAfterSeconds.get());
            return Optional.empty();
        }
        ClientRequest forwarded =
                routingTable.get().requiresKeys() ? clientRequest.forTenant(tenant.map(Tenant::name)) : clientRequest;
        Optional<QuotaCharge> charge = tenant.flatMap(each -> QuotaCharge.of(each, request.getHeaders()));
        QuotaAdmission quota =
                new QuotaAdmission(charge, quotas, services.timers(), services.random(), quotaWaitMs(shape.get()));
        return Optional.of(new Admitted(forwarded, shape.get(), quota));
    }

    /**
     * Seconds after which the client may retry if the request is rejected for lack of replicas or capacity; empty if it
     * is admitted.
     */
    private Optional<Double> retryAfterSeconds(RequestShape shape) {
        Collection<ReplicaRecord> candidates = services.directory().candidates(shape.service());
        if (candidates.isEmpty()) {
            return Optional.of(recoveryRetryAfterSeconds());
        }
        AdmissionDecision decision = admissionControl.decide(shape, candidates, nowMs());
        return decision instanceof AdmissionDecision.Reject rejection
                ? Optional.of(rejection.retryAfterSeconds())
                : Optional.empty();
    }

    private double quotaWaitMs(RequestShape shape) {
        return admissionControl.isRetry(shape)
                ? QUOTA_WAIT_RETRY_FRACTION * (shape.deadlineAtMs() - nowMs())
                : QUOTA_WAIT_TARGET_FRACTION * shape.route().targetLatencyMs();
    }

    /**
     * Responds to a request without a route: 404 if the configuration is confirmed to be the fleet's, otherwise 503
     * (not executed).
     */
    private void rejectUnrouted(ClientExchange client, String id) {
        if (configurationStatus.isConfirmedSinceStart()) {
            respond(client, id, HttpStatus.NOT_FOUND_404);
        } else {
            rejectNotExecuted(client, id, recoveryRetryAfterSeconds());
        }
    }

    private static void respond(ClientExchange client, String id, int status) {
        client.respond(status, HttpFields.build().add(HeaderNames.REQUEST_ID, id), UpstreamRequest.NO_BODY);
    }

    /** Responds 503: the request was not executed and will not be, and the client may retry. */
    private static void rejectNotExecuted(ClientExchange client, String id, double retryAfterSeconds) {
        HttpFields.Mutable fields = HttpFields.build();
        fields.add(HeaderNames.REQUEST_ID, id);
        fields.add(
                HttpHeader.RETRY_AFTER, Double.toString(Math.round(retryAfterSeconds * MS_PER_SECOND) / MS_PER_SECOND));
        client.respond(HttpStatus.SERVICE_UNAVAILABLE_503, fields, UpstreamRequest.NO_BODY);
    }

    private double recoveryRetryAfterSeconds() {
        return RECOVERY_RETRY_AFTER_SECONDS
                + RECOVERY_RETRY_AFTER_JITTER_SECONDS * services.random().nextDouble();
    }

    private double nowMs() {
        return services.timers().nowMs();
    }
}
