package sandstack.decisions;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One relay of a {@link SimulatedFleet}: its module, or none while it restarts. */
final class SimulatedRelay {
    final int number;
    final int zone;
    LoadBalancer brain;
    boolean draining;
    /** What it was told of last while lists are late; null while it hears of each change. */
    List<EndpointEntry> lastList;

    int life;
    final Map<String, SimulatedClient> clients = new LinkedHashMap<>();
    final Map<String, Integer> tries = new HashMap<>();

    SimulatedRelay(int number, int zone) {
        this.number = number;
        this.zone = zone;
    }
}
