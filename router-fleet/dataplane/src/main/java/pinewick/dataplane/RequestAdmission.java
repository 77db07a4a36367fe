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
 * Decides whether a request that was received completely is admitted: by its route, its key, the replicas that there
 * are and their load. What is not admitted is answered here; the limit of the tenant is left to the request's
 * lifecycle, since that may have to wait. Used on the data plane's executor only.
 */
final class RequestAdmission {
    private static final double MS_PER_SECOND = 1e3;

    /**
     * {@code Retry-After} while this router does not know the fleet's configuration, or no replica of a service, as
     * after a loss of power everywhere: it takes the controllers some tenths of a second to elect a primary, and
     * replicas report up to a heartbeat later. A client retries once, so that a shorter time would cost it the second
     * rejection; it waits for at most a third of its time.
     */
    private static final double RECOVERY_RETRY_AFTER_SECONDS = 0.6;

    /** Random addition to the time for recovery, so that clients do not return at the same time. */
    private static final double RECOVERY_RETRY_AFTER_JITTER_SECONDS = 0.5;

    /** {@code Retry-After} while this router shuts down: another one takes the request. */
    private static final double STOPPING_RETRY_AFTER_SECONDS = 0.2;

    /** A first attempt waits this part of its target for its limit: refused earlier, it can still be in time. */
    private static final double QUOTA_WAIT_TARGET_FRACTION = 0.22;

    /** A client's retry waits this part of the time it has left: a second refusal would be its end. */
    private static final double QUOTA_WAIT_RETRY_FRACTION = 0.45;

    private final RequestRouting routing;
    private final Supplier<RoutingTable> routingTable;
    private final DataPlaneServices services;
    private final AdmissionControl admissionControl;
    private final ConfigurationStatus configurationStatus;
    private final TenantAuthenticator authenticator;
    private final TenantQuotas quotas;

    /**
     * A request that may be sent, as soon as the limit of its tenant allows.
     *
     * @param request as replicas may see it
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
     * Admits a request, or answers its client and returns empty.
     *
     * @param rejectsNew whether this router takes no new requests any more
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

    /** Whether requests with a known key would be accepted now. Any thread. */
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

    /** When a request may come back that is rejected because of the replicas; empty if it is admitted. */
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

    /** There is no route: 404 if the configuration is confirmed to be the fleet's, otherwise 503 as not executed. */
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

    /** The request was not executed and never will be; the client may retry. */
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
