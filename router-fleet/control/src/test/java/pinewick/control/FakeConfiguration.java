package pinewick.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import pinewick.model.SocketAddress;
import pinewick.replication.ChangeOutcome;
import pinewick.replication.ConfigurationChange;
import pinewick.replication.ReadOutcome;
import pinewick.replication.ReplicatedConfiguration;

/** A replicated configuration with outcomes set by the test; without an outcome it does not respond. */
final class FakeConfiguration implements ReplicatedConfiguration {
    final List<ConfigurationChange> changes = new ArrayList<>();
    double clockMs = Double.NaN;
    ChangeOutcome changeOutcome;
    ReadOutcome readOutcome;

    @Override
    public void advanceClock(double nowMs) {
        clockMs = nowMs;
    }

    @Override
    public void submit(ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        changes.add(change);
        if (changeOutcome != null) {
            callback.accept(changeOutcome);
        }
    }

    @Override
    public void read(Consumer<ReadOutcome> callback) {
        if (readOutcome != null) {
            callback.accept(readOutcome);
        }
    }

    @Override
    public Optional<SocketAddress> primary() {
        return Optional.empty();
    }

    @Override
    public Optional<Long> leadingEpoch() {
        return Optional.empty();
    }
}
