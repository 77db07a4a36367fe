package pinewick.emulator.control;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import pinewick.control.ApiResponse;
import pinewick.model.SocketAddress;

/**
 * Sends changes and reads as the protocol says: follows a redirection twice, waits a second for an answer, then calls
 * another controller after a pause that grows, and sends the same call again unchanged until its answer is clear.
 */
final class Operator {
    private static final int MOST_REDIRECTIONS = 2;
    private static final int MOST_CALLS = 8;
    private static final double TIME_OUT_MS = 1_000;
    private static final double FIRST_PAUSE_MS = 50;
    private static final double LONGEST_PAUSE_MS = 800;
    private static final double GIVE_UP_MS = 12_000;
    private static final int LONG_DOCUMENT_BYTES = 90_000;

    private final ControlWorld world;
    private final String host;
    private final SplittableRandom random;
    private final List<ChangeOrder> sentBefore = new ArrayList<>();
    private final List<Double> acknowledgedAfterMs = new ArrayList<>();
    private Optional<Operator> partner = Optional.empty();
    private double answerLossShare;
    private double longDocumentShare;
    private double paceMs = 500;
    private double workUntilMs;
    private long believedCurrent;
    private int callsUnderWay;

    Operator(ControlWorld world, int number, SplittableRandom random) {
        this.world = world;
        this.host = "10.4.0." + number;
        this.random = random;
    }

    String host() {
        return host;
    }

    void loseAnswers(double share) {
        answerLossShare = share;
    }

    void sendLongDocuments(double share) {
        longDocumentShare = share;
    }

    void pace(double meanMs) {
        paceMs = meanMs;
    }

    /** Another operator, to whom some bodies are handed to be sent as well. */
    void partner(Operator other) {
        partner = Optional.of(other);
    }

    /** How long each change took from its first sending to its acknowledgement. */
    List<Double> acknowledgedAfterMs() {
        return acknowledgedAfterMs;
    }

    /** Whether as many calls are under way as it makes at once. */
    boolean busy() {
        return callsUnderWay >= MOST_CALLS;
    }

    void work(double untilMs) {
        workUntilMs = untilMs;
        next();
    }

    private void next() {
        if (world.nowMs() >= workUntilMs) {
            return;
        }
        if (!busy()) {
            act();
        }
        boolean burst = random.nextDouble() < 0.3;
        world.after(burst ? random.nextDouble(1, 30) : paceMs * random.nextDouble(0.2, 1.8), this::next);
    }

    private void act() {
        double choice = random.nextDouble();
        if (choice < 0.2) {
            read(() -> {});
        } else if (choice < 0.3 && !sentBefore.isEmpty()) {
            submit(sentBefore.get(random.nextInt(sentBefore.size())), () -> {});
        } else {
            ChangeOrder change = nextChange();
            submit(change, () -> {});
            if (random.nextDouble() < 0.1) {
                partner.ifPresent(other -> other.submit(change, () -> {}));
            }
        }
    }

    private ChangeOrder nextChange() {
        long known = Math.max(
                believedCurrent, random.nextDouble() < 0.8 ? world.history().newestAcknowledged() : 0);
        long base = random.nextDouble() < 0.9 ? known : Math.max(0, known - random.nextInt(4));
        long version = base + (random.nextDouble() < 0.95 ? 1 + random.nextInt(3) : 0);
        boolean whole = random.nextBoolean();
        boolean wellFormed = random.nextDouble() < 0.95;
        int padding = random.nextDouble() < longDocumentShare ? LONG_DOCUMENT_BYTES : 0;
        ChangeOrder change = world.history().make(whole, base, version, wellFormed, padding);
        world.history().calls().firstSent(change);
        sentBefore.add(change);
        return change;
    }

    /** A valid change upon what is in force. */
    ChangeOrder validChange() {
        long base = world.history().newestInForce();
        ChangeOrder change = world.history().make(true, base, base + 1, true, 0);
        world.history().calls().firstSent(change);
        return change;
    }

    void submit(ChangeOrder change, Runnable onAcknowledged) {
        submit(change, onAcknowledged, () -> {});
    }

    void submit(ChangeOrder change, Runnable onAcknowledged, Runnable onRefused) {
        new Sending(OperatorCall.of(change), onAcknowledged, onRefused).begin();
    }

    void read(Runnable onAnswered) {
        new Sending(OperatorCall.read(), onAnswered, () -> {}).begin();
    }

    /** One call until its answer is clear. */
    private final class Sending {
        private final OperatorCall call;
        private final Runnable onSuccess;
        private final Runnable onRefused;
        private final double beganMs = world.nowMs();
        private double pauseMs = FIRST_PAUSE_MS;
        private int controller;
        private int tries;
        private boolean ended;

        Sending(OperatorCall call, Runnable onSuccess, Runnable onRefused) {
            this.call = call;
            this.onSuccess = onSuccess;
            this.onRefused = onRefused;
        }

        void begin() {
            callsUnderWay++;
            controller = random.nextInt(64);
            attempt();
        }

        private void attempt() {
            if (ended) {
                return;
            }
            if (world.nowMs() - beganMs > GIVE_UP_MS) {
                end();
                return;
            }
            List<ControllerMachine> present = world.present();
            send(present.get(Math.floorMod(controller, present.size())), MOST_REDIRECTIONS);
        }

        private void end() {
            if (!ended) {
                ended = true;
                callsUnderWay--;
            }
        }

        private void send(ControllerMachine target, int redirectionsLeft) {
            int current = ++tries;
            world.after(TIME_OUT_MS, () -> fail(current));
            world.network().transfer(host, target.host(), () -> {
                if (target.life().isEmpty()) {
                    world.network().transfer(target.host(), host, () -> fail(current));
                    return;
                }
                target.life()
                        .get()
                        .operatorCalls(call, answer -> answerLeaves(target, current, answer, redirectionsLeft));
            });
        }

        private void answerLeaves(ControllerMachine from, int current, ApiResponse answer, int redirectionsLeft) {
            if (random.nextDouble() >= answerLossShare) {
                world.network().transfer(from.host(), host, () -> take(current, answer, redirectionsLeft));
            }
        }

        private void fail(int current) {
            if (!ended && tries == current) {
                tries++;
                controller++;
                world.after(pauseMs * random.nextDouble(0.5, 1), this::attempt);
                pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
            }
        }

        private void take(int current, ApiResponse answer, int redirectionsLeft) {
            if (ended || tries != current) {
                return;
            }
            switch (answer.status()) {
                case 200 -> succeed();
                case 400, 412 -> refused();
                case 307 -> follow(current, answer, redirectionsLeft);
                default -> fail(current);
            }
        }

        private void refused() {
            end();
            onRefused.run();
        }

        private void succeed() {
            end();
            if (call.change() != null) {
                believedCurrent = Math.max(believedCurrent, call.change().version());
                acknowledgedAfterMs.add(world.nowMs() - beganMs);
            }
            onSuccess.run();
        }

        private void follow(int current, ApiResponse answer, int redirectionsLeft) {
            URI location = URI.create(answer.location().orElseThrow());
            SocketAddress api = new SocketAddress(location.getHost(), location.getPort());
            Optional<ControllerMachine> target = world.controllerAt(api);
            if (redirectionsLeft == 0 || target.isEmpty()) {
                fail(current);
            } else {
                send(target.get(), redirectionsLeft - 1);
            }
        }
    }
}
