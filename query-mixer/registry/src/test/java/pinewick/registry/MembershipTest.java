package pinewick.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Registration of mixers by lease, and the estimate of their number. */
class MembershipTest {
    @Test
    void higherCountAppliesAtOnceLowerCountAfterDelay() {
        MixerCount count = new MixerCount(2, 0, 30);
        count.observe(1, 5);
        assertEquals(5, count.count(1));
        count.observe(10, 3);
        assertEquals(5, count.count(39.9));
        assertEquals(3, count.count(40));
    }

    @Test
    void briefLossOfKeysDoesNotLowerTheCount() {
        MixerCount count = new MixerCount(4, 0, 30);
        for (double now = 1; now < 200; now += 25) {
            count.observe(now, 0);
            assertEquals(4, count.count(now + 20));
            count.observe(now + 20, 4);
        }
    }

    @Test
    void stepwiseDecreaseIsFollowedStepwise() {
        MixerCount count = new MixerCount(6, 0, 30);
        count.observe(5, 4);
        count.observe(20, 2);
        assertEquals(6, count.count(34));
        assertEquals(4, count.count(36));
        assertEquals(2, count.count(50));
        count.observe(51, 3);
        assertEquals(3, count.count(51));
    }

    @Test
    void countNeverFallsBelowOne() {
        MixerCount count = new MixerCount(1, 0, 1);
        count.observe(1, 0);
        assertEquals(1, count.count(100));
    }

    /** Records the requests by name and answers them at once unless {@code responds} is false. */
    private static final class Registry implements LeaseKeeper.Transport {
        final List<String> requests = new ArrayList<>();
        final LeaseKeeper keeper = new LeaseKeeper(3, 9, 1, this, new SplittableRandom(3));
        boolean responds = true;
        double now;
        double remainingSeconds = 9;

        @Override
        public void grant(long requestId, int endpoint, double ttlSeconds) {
            requests.add("grant");
            respond(requestId, 42);
        }

        @Override
        public void put(long requestId, int endpoint, long lease) {
            requests.add("put " + lease);
            respond(requestId, lease);
        }

        @Override
        public void keepAlive(long requestId, int endpoint, long lease) {
            requests.add("renew " + lease);
            respond(requestId, lease);
        }

        @Override
        public void cancel(long requestId) {
            requests.add("drop");
        }

        private void respond(long requestId, long lease) {
            if (responds) {
                keeper.onResponse(now, requestId, lease, remainingSeconds);
            }
        }

        void advance(double seconds) {
            for (double until = now + seconds; now < until; now += 0.05) {
                keeper.tick(now);
            }
        }
    }

    @Test
    void leaseIsKeptAliveInTime() {
        Registry registry = new Registry();
        registry.keeper.start(0);
        assertEquals(List.of("grant", "put 42"), registry.requests);
        registry.advance(30);
        long keepAlives = registry.requests.stream()
                .filter(each -> each.equals("renew 42"))
                .count();
        assertTrue(keepAlives >= 8 && keepAlives <= 14, "keep-alives " + keepAlives);
        assertTrue(registry.keeper.isHeld(registry.now));
    }

    @Test
    void expiredLeaseIsGrantedAnew() {
        Registry registry = new Registry();
        registry.keeper.start(0);
        registry.remainingSeconds = 0;
        registry.advance(4);
        registry.remainingSeconds = 9;
        assertTrue(
                registry.requests.stream().filter(each -> each.equals("grant")).count() >= 2);
        registry.advance(4);
        assertTrue(registry.keeper.isHeld(registry.now));
    }

    @Test
    void unresponsiveMembersAreRetriedWithBackoff() {
        Registry registry = new Registry();
        registry.keeper.start(0);
        registry.responds = false;
        registry.advance(60);
        assertFalse(registry.keeper.isHeld(registry.now));
        long attempts =
                registry.requests.stream().filter(each -> !each.equals("drop")).count();
        assertTrue(attempts > 15 && attempts < 60, "attempts " + attempts);
        registry.responds = true;
        registry.advance(4);
        assertTrue(registry.keeper.isHeld(registry.now));
    }
}
