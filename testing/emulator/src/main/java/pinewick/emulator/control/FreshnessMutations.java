package pinewick.emulator.control;

import java.util.HashMap;
import java.util.Map;
import pinewick.dissemination.FleetMessages.ConfirmationReply;
import pinewick.dissemination.FleetMessages.Digest;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.replication.ReplicationMessages.Heartbeat;

/** Mutations of how processes learn that their configuration is the newest. */
final class FreshnessMutations {
    private FreshnessMutations() {}

    /** A router counts the age in a message from the arrival of the message. */
    private abstract static class CountsFromArrival extends Mutation {
        private final Map<RouterProcess, Double> confirmedAtMs = new HashMap<>();

        final void confirm(RouterProcess router, long version, int ageMs) {
            if (ageMs >= 0 && version <= router.appliedVersion()) {
                confirmedAtMs.merge(router, router.systemNowMs() - ageMs, Math::max);
            }
        }

        @Override
        double confirmedAtMs(RouterProcess router, double actual) {
            return Math.max(actual, confirmedAtMs.getOrDefault(router, Double.NEGATIVE_INFINITY));
        }
    }

    /** Unsolicited digests count as confirmations. */
    static final class CountsUnsolicited extends CountsFromArrival {
        @Override
        void onHandledByRouter(RouterProcess router, Message message) {
            if (message instanceof Digest digest) {
                confirm(router, digest.configurationVersion(), digest.confirmedAgeMs());
            }
        }
    }

    /** A reply counts from its arrival, not from when the request was sent. */
    static final class CountsReplyFromArrival extends CountsFromArrival {
        @Override
        void onHandledByRouter(RouterProcess router, Message message) {
            if (message instanceof ConfirmationReply reply) {
                confirm(router, reply.configurationVersion(), reply.ageMs());
            }
        }
    }

    /** A process reports its configuration as the newest one now, although it knows this only for an earlier time. */
    static final class OmitsAge extends Mutation {
        @Override
        Message onSent(Network network, SocketAddress from, SocketAddress to, Message message) {
            return message instanceof ConfirmationReply reply && reply.ageMs() > 0 ? withAge(reply, 0) : message;
        }
    }

    /** A follower counts a heartbeat of the primary from its arrival. */
    static final class FollowerCountsHeartbeats extends Mutation {
        private final Map<SocketAddress, Double> heartbeatAtMs = new HashMap<>();
        private Network network;

        @Override
        Message onSent(Network carrier, SocketAddress from, SocketAddress to, Message message) {
            network = carrier;
            Double heartbeatMs = heartbeatAtMs.get(from);
            if (!(message instanceof ConfirmationReply reply) || heartbeatMs == null) {
                return message;
            }
            int ageMs = (int) Math.ceil(carrier.nowMs() - heartbeatMs);
            return reply.ageMs() >= 0 && reply.ageMs() <= ageMs ? message : withAge(reply, ageMs);
        }

        @Override
        Message onReceived(SocketAddress from, SocketAddress to, Message message) {
            if (message instanceof Heartbeat && network != null) {
                heartbeatAtMs.put(to, network.nowMs());
            }
            return message;
        }
    }

    private static ConfirmationReply withAge(ConfirmationReply reply, int ageMs) {
        return new ConfirmationReply(reply.requestId(), reply.configurationVersion(), ageMs, reply.primary());
    }
}
