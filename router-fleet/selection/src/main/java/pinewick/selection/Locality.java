package pinewick.selection;

import java.util.Map;

/**
 * The zone of this router and the regions of all zones, for the cost of crossing them.
 *
 * @param zone its zone, empty if not known
 * @param regionOfZone region of each zone
 */
record Locality(String zone, Map<String, String> regionOfZone) {
    static final Locality UNKNOWN = new Locality("", Map.of());

    /** How many times longer a KV transfer between these zones takes than within one. */
    double transferFactor(String from, String to) {
        if (from.equals(to)) {
            return PriceModel.transferFactor(true, true);
        }
        String region = regionOfZone.getOrDefault(from, "");
        return PriceModel.transferFactor(false, region.equals(regionOfZone.getOrDefault(to, "")));
    }

    /** Price of a request of so many prompt tokens to a replica in another zone. */
    double requestPrice(String to, int promptTokens) {
        return zone.isEmpty() || zone.equals(to) ? 0 : PriceModel.crossZonePrice(promptTokens);
    }
}
