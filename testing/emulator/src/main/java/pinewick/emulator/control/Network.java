package pinewick.emulator.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Links between hosts. A message may be lost, duplicated, delayed by seconds, and reach a later incarnation of its
 * receiver. Each link has its own random generator, so that its draws do not depend on the order in which a process
 * sends to several others.
 */
final class Network {
    private static final double MIN_DELAY_MS = 0.3;
    private static final double MAX_DELAY_MS = 1.5;
    private static final double MAX_LATE_MS = 400;
    static final double MAX_STALE_MS = 4_000;

    /** Receives the messages that the network delivers. */
    interface Receiver {
        void onMessage(SocketAddress sender, Message message);
    }

    private record Link(String from, String to) {}

    private record ExtraDelay(double minMs, double maxMs, Predicate<Message> matching) {}

    private final VirtualTime time;
    private final long seed;
    private final Map<Link, SplittableRandom> randomByLink = new HashMap<>();
    private final Map<Link, Integer> blockedLinks = new HashMap<>();
    private final Map<Link, ExtraDelay> extraDelays = new HashMap<>();
    private final Map<SocketAddress, Receiver> receivers = new HashMap<>();
    private Mutation mutation = Mutation.NONE;
    private double lossProbability;
    private double duplicateProbability;
    private double lateProbability;
    private double staleProbability;

    Network(VirtualTime time, long seed) {
        this.time = time;
        this.seed = seed;
    }

    double nowMs() {
        return time.nowMs();
    }

    void setMutation(Mutation newMutation) {
        mutation = newMutation;
    }

    /** Sets the probabilities that a message is lost, duplicated or late, and that a late one is late by seconds. */
    void setQuality(double loss, double duplication, double late, double stale) {
        staleProbability = stale;
        lossProbability = loss;
        duplicateProbability = duplication;
        lateProbability = late;
    }

    void listen(SocketAddress address, Receiver receiver) {
        receivers.put(address, receiver);
    }

    /** Blocks the link from one host to another until it has been unblocked as often as blocked. */
    void block(String from, String to) {
        blockedLinks.merge(new Link(from, to), 1, Integer::sum);
    }

    void unblock(String from, String to) {
        blockedLinks.computeIfPresent(new Link(from, to), (link, count) -> count == 1 ? null : count - 1);
    }

    void unblockAll() {
        blockedLinks.clear();
        extraDelays.clear();
    }

    /** Delays the matching messages that are sent from now on from one host to another. */
    void delay(String from, String to, double minMs, double maxMs, Predicate<Message> matching) {
        extraDelays.put(new Link(from, to), new ExtraDelay(minMs, maxMs, matching));
    }

    void removeDelay(String from, String to) {
        extraDelays.remove(new Link(from, to));
    }

    boolean isOpen(String from, String to) {
        return blockedLinks.isEmpty() || !blockedLinks.containsKey(new Link(from, to));
    }

    boolean isOpenBothWays(String left, String right) {
        return isOpen(left, right) && isOpen(right, left);
    }

    /** Sends a message between processes. */
    void send(SocketAddress from, SocketAddress to, Message message) {
        Message transmitted = mutation.onSent(this, from, to, message);
        if (transmitted == null || !isOpen(from.host(), to.host())) {
            return;
        }
        SplittableRandom random = randomFor(from.host(), to.host());
        if (lossProbability > 0 && random.nextDouble() < lossProbability) {
            return;
        }
        transmit(from, to, transmitted, random);
        if (duplicateProbability > 0 && random.nextDouble() < duplicateProbability) {
            transmit(from, to, transmitted, random);
        }
    }

    private void transmit(SocketAddress from, SocketAddress to, Message message, SplittableRandom random) {
        double delayMs = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random.nextDouble();
        if (lateProbability > 0 && random.nextDouble() < lateProbability) {
            double maxLateMs = random.nextDouble() < staleProbability ? MAX_STALE_MS : MAX_LATE_MS;
            delayMs += maxLateMs * random.nextDouble();
        }
        ExtraDelay extraDelay = extraDelays.isEmpty() ? null : extraDelays.get(new Link(from.host(), to.host()));
        if (extraDelay != null && extraDelay.matching.test(message)) {
            delayMs += extraDelay.minMs + (extraDelay.maxMs - extraDelay.minMs) * random.nextDouble();
        }
        deliverAfter(delayMs, from, to, message);
    }

    /** Delivers a message that a mutation forges, even over a blocked link. */
    void forge(SocketAddress from, SocketAddress to, Message message) {
        time.after(MIN_DELAY_MS, () -> {
            Receiver receiver = receivers.get(to);
            if (receiver != null) {
                receiver.onMessage(from, message);
            }
        });
    }

    private void deliverAfter(double delayMs, SocketAddress from, SocketAddress to, Message message) {
        time.after(delayMs, () -> {
            Receiver receiver = receivers.get(to);
            if (receiver != null && isOpen(from.host(), to.host())) {
                receiver.onMessage(from, message);
            }
        });
    }

    /** Runs a task at another host, unless the link is blocked at the start or the end of the transfer. */
    void transfer(String from, String to, Runnable arrival) {
        if (!isOpen(from, to)) {
            return;
        }
        SplittableRandom random = randomFor(from, to);
        double delayMs = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random.nextDouble();
        time.after(delayMs, () -> {
            if (isOpen(from, to)) {
                arrival.run();
            }
        });
    }

    private SplittableRandom randomFor(String from, String to) {
        Link link = new Link(from, to);
        SplittableRandom random = randomByLink.get(link);
        if (random == null) {
            random = new SplittableRandom(seed * 1_000_003 + link.hashCode());
            randomByLink.put(link, random);
        }
        return random;
    }
}
