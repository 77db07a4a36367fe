package pinewick.emulator.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Links between hosts. A message may be lost, doubled, late by seconds, and reach a later life of its receiver. Chance
 * is drawn a link, so that it does not depend on the order in which a process sends to several others.
 */
final class Network {
    private static final double MIN_DELAY_MS = 0.3;
    private static final double MAX_DELAY_MS = 1.5;
    private static final double LATEST_MS = 400;
    static final double STALEST_MS = 4_000;

    /** Receives what the network carries. */
    interface Receiver {
        void onMessage(SocketAddress sender, Message message);
    }

    private record Link(String from, String to) {}

    private record Slowness(double leastMs, double mostMs, Predicate<Message> concerned) {}

    private final VirtualTime time;
    private final long seed;
    private final Map<Link, SplittableRandom> chances = new HashMap<>();
    private final Map<Link, Integer> cuts = new HashMap<>();
    private final Map<Link, Slowness> slow = new HashMap<>();
    private final Map<SocketAddress, Receiver> receivers = new HashMap<>();
    private Sabotage sabotage = Sabotage.NONE;
    private double lossShare;
    private double duplicateShare;
    private double lateShare;
    private double staleShare;

    Network(VirtualTime time, long seed) {
        this.time = time;
        this.seed = seed;
    }

    double nowMs() {
        return time.nowMs();
    }

    void sabotage(Sabotage by) {
        sabotage = by;
    }

    /**
     * How bad the links are: shares of messages that are lost, that come twice, that are late, and of the late ones
     * those that are late by seconds.
     */
    void quality(double lost, double doubled, double late, double stale) {
        staleShare = stale;
        lossShare = lost;
        duplicateShare = doubled;
        lateShare = late;
    }

    void listen(SocketAddress address, Receiver receiver) {
        receivers.put(address, receiver);
    }

    /** Nothing gets from one host to another until the cut is undone as often as it was made. */
    void cut(String from, String to) {
        cuts.merge(new Link(from, to), 1, Integer::sum);
    }

    void join(String from, String to) {
        cuts.computeIfPresent(new Link(from, to), (link, count) -> count == 1 ? null : count - 1);
    }

    void joinAll() {
        cuts.clear();
        slow.clear();
    }

    /** Messages between processes that are sent from now on take so much longer one way, if they are concerned. */
    void slow(String from, String to, double leastMs, double mostMs, Predicate<Message> concerned) {
        slow.put(new Link(from, to), new Slowness(leastMs, mostMs, concerned));
    }

    void slowNoMore(String from, String to) {
        slow.remove(new Link(from, to));
    }

    boolean isOpen(String from, String to) {
        return cuts.isEmpty() || !cuts.containsKey(new Link(from, to));
    }

    boolean isOpenBothWays(String one, String other) {
        return isOpen(one, other) && isOpen(other, one);
    }

    /** Sends a message between processes. */
    void send(SocketAddress from, SocketAddress to, Message message) {
        Message carried = sabotage.sent(this, from, to, message);
        if (carried == null || !isOpen(from.host(), to.host())) {
            return;
        }
        SplittableRandom chance = chanceOf(from.host(), to.host());
        if (lossShare > 0 && chance.nextDouble() < lossShare) {
            return;
        }
        carry(from, to, carried, chance);
        if (duplicateShare > 0 && chance.nextDouble() < duplicateShare) {
            carry(from, to, carried, chance);
        }
    }

    private void carry(SocketAddress from, SocketAddress to, Message message, SplittableRandom chance) {
        double delayMs = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * chance.nextDouble();
        if (lateShare > 0 && chance.nextDouble() < lateShare) {
            double latestMs = chance.nextDouble() < staleShare ? STALEST_MS : LATEST_MS;
            delayMs += latestMs * chance.nextDouble();
        }
        Slowness slowness = slow.isEmpty() ? null : slow.get(new Link(from.host(), to.host()));
        if (slowness != null && slowness.concerned.test(message)) {
            delayMs += slowness.leastMs + (slowness.mostMs - slowness.leastMs) * chance.nextDouble();
        }
        deliverAfter(delayMs, from, to, message);
    }

    /** Delivers a message that nobody sent, cut or not, as a sabotage makes it up. */
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

    /** Runs something at another host, or nothing if the link is cut at either end of the way. */
    void transfer(String from, String to, Runnable arrival) {
        if (!isOpen(from, to)) {
            return;
        }
        SplittableRandom chance = chanceOf(from, to);
        double delayMs = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * chance.nextDouble();
        time.after(delayMs, () -> {
            if (isOpen(from, to)) {
                arrival.run();
            }
        });
    }

    private SplittableRandom chanceOf(String from, String to) {
        Link link = new Link(from, to);
        SplittableRandom chance = chances.get(link);
        if (chance == null) {
            chance = new SplittableRandom(seed * 1_000_003 + link.hashCode());
            chances.put(link, chance);
        }
        return chance;
    }
}
