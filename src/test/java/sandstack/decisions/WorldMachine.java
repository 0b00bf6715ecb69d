package sandstack.decisions;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.ServerEntry;

/** A feed server of a {@link World}. */
final class WorldMachine {
    ServerEntry entry;
    boolean dead;
    final double rate;
    /** Seconds of work that wait here at the most. Below {@link World#DROP_AT} it is late for ever and drops nobody. */
    double queue = Double.POSITIVE_INFINITY;

    final List<WorldClient> held = new ArrayList<>();
    double piled;
    boolean draining;

    WorldMachine(ServerEntry entry, double rate) {
        this.entry = entry;
        this.rate = rate;
    }

    double asked() {
        Set<String> groups = new HashSet<>();
        held.forEach(c -> groups.add(c.group));
        return held.stream().mapToDouble(c -> World.LOAD[c.cls]).sum() + World.GROUP * groups.size();
    }

    /** Its line in discovery's list. */
    ServerEntry listed() {
        Phase phase = draining ? Phase.DRAINING : Phase.READY;
        return new ServerEntry(
                entry.server(), entry.zone(), entry.cell(), entry.kind(), entry.startedAt(), phase, entry.rating());
    }
}
