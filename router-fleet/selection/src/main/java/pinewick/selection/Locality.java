package pinewick.selection;

import java.util.Map;

/**
 * The zone of this router and the region of each zone, from which the cost of cross-zone traffic follows.
 *
 * @param zone this router's zone, empty if unknown
 * @param regionOfZone region of each zone
 */
record Locality(String zone, Map<String, String> regionOfZone) {
    static final Locality UNKNOWN = new Locality("", Map.of());

    /** How many times longer a KV transfer between these zones takes than one within a zone. */
    double transferFactor(String from, String to) {
        if (from.equals(to)) {
            return PriceModel.transferFactor(true, true);
        }
        String region = regionOfZone.getOrDefault(from, "");
        return PriceModel.transferFactor(false, region.equals(regionOfZone.getOrDefault(to, "")));
    }

    /** Price of a request to another zone, milliseconds of score; 0 within the zone or if this router's is unknown. */
    double requestPrice(String to, int promptTokens) {
        return zone.isEmpty() || zone.equals(to) ? 0 : PriceModel.crossZonePrice(promptTokens);
    }
}
