package sandstack.decisions;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A feed server of a {@link SimulatedFleet}. */
final class SimulatedServer {
    EndpointEntry entry;
    boolean dead;
    final double rate;
    /** Seconds of work that wait here at the most. Below {@link SimulatedFleet#DROP_AT} it is late for ever and drops nobody. */
    double queue = Double.POSITIVE_INFINITY;

    final List<SimulatedClient> held = new ArrayList<>();
    double piled;
    boolean draining;

    SimulatedServer(EndpointEntry entry, double rate) {
        this.entry = entry;
        this.rate = rate;
    }

    double asked() {
        Set<String> groups = new HashSet<>();
        held.forEach(c -> groups.add(c.group));
        return held.stream().mapToDouble(c -> SimulatedFleet.LOAD[c.cls]).sum() + SimulatedFleet.GROUP * groups.size();
    }

    /** Its line in discovery's list. */
    EndpointEntry listed() {
        EndpointState phase = draining ? EndpointState.DRAINING : EndpointState.READY;
        return new EndpointEntry(
                entry.serverId(),
                entry.zone(),
                entry.cell(),
                entry.machineKind(),
                entry.startedAtMicros(),
                phase,
                entry.rating());
    }
}
