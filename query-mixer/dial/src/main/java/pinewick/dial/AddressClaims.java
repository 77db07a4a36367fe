package pinewick.dial;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which back end each address belongs to. An address that two back ends claim is used for neither: a request
 * meant for one would reach the other and be counted there, and its retry would reach the same process twice.
 */
public final class AddressClaims {
    private final Map<Address, Set<String>> backendsByAddress = new LinkedHashMap<>();
    private final Map<String, List<Address>> addressesByBackend = new LinkedHashMap<>();

    /** Replaces the back end's addresses; an empty collection removes the back end. */
    public void claim(String backend, Collection<Address> addresses) {
        for (Address old : addressesByBackend.getOrDefault(backend, List.of())) {
            backendsByAddress.get(old).remove(backend);
            if (backendsByAddress.get(old).isEmpty()) {
                backendsByAddress.remove(old);
            }
        }
        addressesByBackend.remove(backend);
        if (!addresses.isEmpty()) {
            addressesByBackend.put(backend, List.copyOf(new LinkedHashSet<>(addresses)));
            addressesByBackend.get(backend).forEach(each -> backendsByAddress
                    .computeIfAbsent(each, key -> new LinkedHashSet<>())
                    .add(backend));
        }
    }

    /**
     * The addresses of the back end that no other back end claims, in the order given; empty for an unknown back end.
     */
    public List<Address> usable(String backend) {
        List<Address> usable = new ArrayList<>();
        for (Address each : addressesByBackend.getOrDefault(backend, List.of())) {
            if (backendsByAddress.get(each).size() == 1) {
                usable.add(each);
            }
        }
        return usable;
    }

    /** One line for each address with several claims, naming all claimants; empty if there is no conflict. */
    public List<String> conflicts() {
        List<String> lines = new ArrayList<>();
        backendsByAddress.forEach((address, backends) -> {
            if (backends.size() > 1) {
                lines.add(address + " is listed under " + String.join(" and ", backends) + " and is used for none");
            }
        });
        return lines;
    }
}
