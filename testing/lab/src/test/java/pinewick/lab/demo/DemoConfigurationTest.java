package pinewick.lab.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pinewick.model.ConfigurationChecks;
import pinewick.model.ConfigurationDocument;

class DemoConfigurationTest {
    @Test
    void bothConfigurationsAreValid() throws Exception {
        ConfigurationDocument first = ConfigurationChecks.parseReplacement(DemoConfiguration.initial(1));
        ConfigurationDocument second = ConfigurationChecks.parseUpdate(first, DemoConfiguration.withSecondRoute(2));

        assertEquals(1, first.sections().get("routes").size());
        assertEquals(2, second.sections().get("routes").size());
        assertEquals(2, second.version());
    }
}
