package pinewick.dataplane;

import pinewick.model.NodeSettings;

/** Bounds of the platform's rules for tests. */
final class TestBounds {
    private TestBounds() {}

    /** Bounds by which revoked keys have to be rejected within 5 s and quotas are enforced. */
    static NodeSettings.Bounds withTenants() {
        return new NodeSettings.Bounds(
                3, 2, 3_000, 4_000, 4, 2_000, 8, 200, 2_000, 250, 0.1, 10, 0, 12, 120, 5, false, 3_000, 300, 5_000,
                true, 5_000, 8, 0.1, 1_000);
    }
}
