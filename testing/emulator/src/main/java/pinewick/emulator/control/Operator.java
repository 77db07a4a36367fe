package pinewick.emulator.control;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import pinewick.control.ApiResponse;
import pinewick.model.SocketAddress;

/**
 * Submits changes and reads according to the protocol: follows up to two redirects, times out after one second, then
 * calls another controller after an exponential backoff, and resends the same request unchanged until its outcome is
 * definite.
 */
final class Operator {
    private static final int MAX_REDIRECTS = 2;
    private static final int MAX_CALLS = 8;
    private static final double TIMEOUT_MS = 1_000;
    private static final double INITIAL_BACKOFF_MS = 50;
    private static final double MAX_BACKOFF_MS = 800;
    private static final double GIVE_UP_MS = 12_000;
    private static final int LONG_DOCUMENT_BYTES = 90_000;

    private final SimulatedSystem system;
    private final String host;
    private final SplittableRandom random;
    private final List<SubmittedChange> sentChanges = new ArrayList<>();
    private final List<Double> acknowledgementTimesMs = new ArrayList<>();
    private Optional<Operator> partner = Optional.empty();
    private double responseLossProbability;
    private double longDocumentProbability;
    private double meanIntervalMs = 500;
    private double runUntilMs;
    private long lastKnownVersion;
    private int callsInFlight;

    Operator(SimulatedSystem system, int number, SplittableRandom random) {
        this.system = system;
        this.host = "10.4.0." + number;
        this.random = random;
    }

    String host() {
        return host;
    }

    void loseResponses(double probability) {
        responseLossProbability = probability;
    }

    void sendLongDocuments(double probability) {
        longDocumentProbability = probability;
    }

    void setMeanIntervalMs(double meanMs) {
        meanIntervalMs = meanMs;
    }

    /** Sets another operator that also submits some of the changes. */
    void setPartner(Operator other) {
        partner = Optional.of(other);
    }

    /** The time from the first submission of each change to its acknowledgement. */
    List<Double> acknowledgementTimesMs() {
        return acknowledgementTimesMs;
    }

    /** Whether the maximum number of concurrent requests is in flight. */
    boolean isBusy() {
        return callsInFlight >= MAX_CALLS;
    }

    void run(double untilMs) {
        runUntilMs = untilMs;
        runNext();
    }

    private void runNext() {
        if (system.nowMs() >= runUntilMs) {
            return;
        }
        if (!isBusy()) {
            performOperation();
        }
        boolean isBurst = random.nextDouble() < 0.3;
        system.after(isBurst ? random.nextDouble(1, 30) : meanIntervalMs * random.nextDouble(0.2, 1.8), this::runNext);
    }

    private void performOperation() {
        double choice = random.nextDouble();
        if (choice < 0.2) {
            read(() -> {});
        } else if (choice < 0.3 && !sentChanges.isEmpty()) {
            submit(sentChanges.get(random.nextInt(sentChanges.size())), () -> {});
        } else {
            SubmittedChange change = nextChange();
            submit(change, () -> {});
            if (random.nextDouble() < 0.1) {
                partner.ifPresent(other -> other.submit(change, () -> {}));
            }
        }
    }

    private SubmittedChange nextChange() {
        long known = Math.max(
                lastKnownVersion, random.nextDouble() < 0.8 ? system.history().newestAcknowledged() : 0);
        long base = random.nextDouble() < 0.9 ? known : Math.max(0, known - random.nextInt(4));
        long version = base + (random.nextDouble() < 0.95 ? 1 + random.nextInt(3) : 0);
        boolean replacesAll = random.nextBoolean();
        boolean wellFormed = random.nextDouble() < 0.95;
        int padding = random.nextDouble() < longDocumentProbability ? LONG_DOCUMENT_BYTES : 0;
        SubmittedChange change = system.history().create(replacesAll, base, version, wellFormed, padding);
        system.history().calls().onFirstSent(change);
        sentChanges.add(change);
        return change;
    }

    /** Creates a valid change that is based on the newest version in force. */
    SubmittedChange validChange() {
        long base = system.history().newestInForce();
        SubmittedChange change = system.history().create(true, base, base + 1, true, 0);
        system.history().calls().onFirstSent(change);
        return change;
    }

    void submit(SubmittedChange change, Runnable onAcknowledged) {
        submit(change, onAcknowledged, () -> {});
    }

    void submit(SubmittedChange change, Runnable onAcknowledged, Runnable onRejected) {
        new Submission(OperatorCall.of(change), onAcknowledged, onRejected).start();
    }

    void read(Runnable onResponded) {
        new Submission(OperatorCall.read(), onResponded, () -> {}).start();
    }

    /** One request until its outcome is definite. */
    private final class Submission {
        private final OperatorCall call;
        private final Runnable onSuccess;
        private final Runnable onRejected;
        private final double startedMs = system.nowMs();
        private double backoffMs = INITIAL_BACKOFF_MS;
        private int controller;
        private int attempts;
        private boolean completed;

        Submission(OperatorCall call, Runnable onSuccess, Runnable onRejected) {
            this.call = call;
            this.onSuccess = onSuccess;
            this.onRejected = onRejected;
        }

        void start() {
            callsInFlight++;
            controller = random.nextInt(64);
            attempt();
        }

        private void attempt() {
            if (completed) {
                return;
            }
            if (system.nowMs() - startedMs > GIVE_UP_MS) {
                complete();
                return;
            }
            List<ControllerMachine> present = system.present();
            send(present.get(Math.floorMod(controller, present.size())), MAX_REDIRECTS);
        }

        private void complete() {
            if (!completed) {
                completed = true;
                callsInFlight--;
            }
        }

        private void send(ControllerMachine target, int redirectsLeft) {
            int current = ++attempts;
            system.after(TIMEOUT_MS, () -> fail(current));
            system.network().transfer(host, target.host(), () -> {
                if (target.process().isEmpty()) {
                    system.network().transfer(target.host(), host, () -> fail(current));
                    return;
                }
                target.process()
                        .get()
                        .onOperatorCall(call, response -> sendResponse(target, current, response, redirectsLeft));
            });
        }

        private void sendResponse(ControllerMachine from, int current, ApiResponse response, int redirectsLeft) {
            if (random.nextDouble() >= responseLossProbability) {
                system.network().transfer(from.host(), host, () -> onResponse(current, response, redirectsLeft));
            }
        }

        private void fail(int current) {
            if (!completed && attempts == current) {
                attempts++;
                controller++;
                system.after(backoffMs * random.nextDouble(0.5, 1), this::attempt);
                backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            }
        }

        private void onResponse(int current, ApiResponse response, int redirectsLeft) {
            if (completed || attempts != current) {
                return;
            }
            switch (response.status()) {
                case 200 -> succeed();
                case 400, 412 -> reject();
                case 307 -> followRedirect(current, response, redirectsLeft);
                default -> fail(current);
            }
        }

        private void reject() {
            complete();
            onRejected.run();
        }

        private void succeed() {
            complete();
            if (call.change() != null) {
                lastKnownVersion = Math.max(lastKnownVersion, call.change().version());
                acknowledgementTimesMs.add(system.nowMs() - startedMs);
            }
            onSuccess.run();
        }

        private void followRedirect(int current, ApiResponse response, int redirectsLeft) {
            URI location = URI.create(response.location().orElseThrow());
            SocketAddress api = new SocketAddress(location.getHost(), location.getPort());
            Optional<ControllerMachine> target = system.controllerAt(api);
            if (redirectsLeft == 0 || target.isEmpty()) {
                fail(current);
            } else {
                send(target.get(), redirectsLeft - 1);
            }
        }
    }
}
