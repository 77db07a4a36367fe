package pinewick.selection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServiceTimeModelTest {
    @Test
    void aLinearModelWithoutNoiseIsFound() {
        ServiceTimeModel model = new ServiceTimeModel();
        for (int tokens : new int[] {100, 700, 2_000, 6_000, 20_000}) {
            model.addSample(tokens, 30 + 0.01 * tokens, 1);
        }
        assertTrue(model.isPerTokenKnown());
        assertEquals(30, model.fixedMs(), 1e-6);
        assertEquals(0.01, model.perTokenMs(), 1e-9);
        assertEquals(130, model.predict(10_000), 1e-6);
    }

    @Test
    void queueingChangesTheModelLittle() {
        ServiceTimeModel model = new ServiceTimeModel();
        SplittableRandom random = new SplittableRandom(3);
        for (int each = 0; each < 200; each++) {
            int tokens = (int) Math.exp(5 + 5 * random.nextDouble());
            double queueingMs = random.nextDouble() < 0.4 ? 0 : -80 * Math.log(random.nextDouble());
            model.addSample(tokens, 30 + 0.01 * tokens + queueingMs, 1);
        }
        assertEquals(0.01, model.perTokenMs(), 0.002);
        assertEquals(30, model.fixedMs(), 15);
    }

    @Test
    void shortRequestsAloneDoNotDetermineTheTokenTime() {
        ServiceTimeModel model = new ServiceTimeModel();
        for (int each = 0; each < 20; each++) {
            model.addSample(100 + each, 40, 1);
        }
        assertFalse(model.isPerTokenKnown());
        assertEquals(40, model.fixedMs(), 1e-6);
    }

    @Test
    void manyShortSamplesDoNotReplaceLongOnes() {
        ServiceTimeModel model = new ServiceTimeModel();
        for (int each = 0; each < 8; each++) {
            model.addSample(10_000 + each * 500, 30 + 0.01 * (10_000 + each * 500), 1);
        }
        for (int each = 0; each < 500; each++) {
            model.addSample(200, 32, 1);
        }
        assertEquals(0.01, model.perTokenMs(), 1e-6);
    }

    @Test
    void aChangedTokenTimeIsTracked() {
        ServiceTimeModel model = new ServiceTimeModel();
        for (int each = 0; each < 40; each++) {
            model.addSample(1_000 * (1 + each % 20), 30 + 0.01 * 1_000 * (1 + each % 20), 1);
        }
        for (int each = 0; each < 40; each++) {
            model.addSample(1_000 * (1 + each % 20), 30 + 0.03 * 1_000 * (1 + each % 20), 1);
        }
        assertEquals(0.03, model.perTokenMs(), 0.003);
    }
}
