package sandstack.decisions;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A feed server of a {@link SimulatedFleet}. It does a limited number of units of work per second and queues what its
 * connections need beyond that.
 */
final class SimulatedServer {
    /** Load of each group that has connections here, in units of work per second. */
    private static final double GROUP_LOAD = 3;
    /** Work of a connection set-up, in units. */
    private static final double SETUP_WORK = 0.3;

    private static final double SLOW_START_INITIAL_FRACTION = 0.13;
    private static final double SLOW_START_MICROS = 23_000_000;

    /** Units of work per second that it does after its slow start. */
    final double unitsPerSecond;
    /** Clients of its connections, in the order of set-up. */
    final List<SimulatedClient> clients = new ArrayList<>();

    EndpointEntry entry;
    boolean down;
    boolean draining;
    /**
     * Bound of the queue in seconds of work. A server whose bound is below the delay at which servers drop connections
     * is slow but drops none.
     */
    double maxQueueSeconds = Double.POSITIVE_INFINITY;

    private double queuedWork;

    SimulatedServer(EndpointEntry entry, double unitsPerSecond) {
        this.entry = entry;
        this.unitsPerSecond = unitsPerSecond;
    }

    /** Units of work per second that its connections need. */
    double requestedLoad() {
        Set<String> groups = new HashSet<>();
        clients.forEach(client -> groups.add(client.group));
        return clients.stream().mapToDouble(SimulatedClient::load).sum() + GROUP_LOAD * groups.size();
    }

    /** Units of work per second that its connections would need with one more client. */
    double requestedLoadWith(SimulatedClient client) {
        return requestedLoad() + client.load() + (hasGroup(client.group) ? 0 : GROUP_LOAD);
    }

    boolean hasGroup(String group) {
        return clients.stream().anyMatch(client -> client.group.equals(group));
    }

    long groupCount() {
        return clients.stream().map(client -> client.group).distinct().count();
    }

    /** Units of work per second that it does now. */
    double currentUnitsPerSecond(long nowMicros) {
        long startedAtMicros = entry.startedAtMicros();
        return unitsPerSecond
                * (startedAtMicros == 0
                        ? 1
                        : Math.min(
                                1,
                                SLOW_START_INITIAL_FRACTION
                                        + (1 - SLOW_START_INITIAL_FRACTION)
                                                * (nowMicros - startedAtMicros)
                                                / SLOW_START_MICROS));
    }

    double queuedWork() {
        return queuedWork;
    }

    void establish(SimulatedClient client) {
        queuedWork += SETUP_WORK;
        clients.add(client);
    }

    /** Works for this duration; returns the message delay at its end, in microseconds. */
    double work(long nowMicros, long durationMicros) {
        double units = currentUnitsPerSecond(nowMicros);
        double added = (requestedLoad() - units) * durationMicros / 1e6;
        queuedWork = Math.max(0, Math.min(maxQueueSeconds * units, queuedWork + added));
        return queuedWork / units * 1e6;
    }

    /** The newest clients, without which the load is less than this. */
    List<SimulatedClient> newestBeyond(double load) {
        List<SimulatedClient> newest = new ArrayList<>();
        double keptLoad = 0;
        Set<String> keptGroups = new HashSet<>();
        for (SimulatedClient client : clients) {
            keptLoad += client.load() + (keptGroups.contains(client.group) ? 0 : GROUP_LOAD);
            if (keptLoad < load) {
                keptGroups.add(client.group);
            } else {
                newest.add(client);
            }
        }
        return newest;
    }

    /** Removes a tenth of the queued work, which stands for the work of the dropped connections. */
    void shrinkQueue() {
        queuedWork *= 0.9;
    }

    void crash() {
        down = true;
        queuedWork = 0;
    }

    /** Starts a new process after a crash. */
    void restart(long nowMicros) {
        down = false;
        entry = new EndpointEntry(
                entry.serverId(),
                entry.zone(),
                entry.cell(),
                entry.machineKind(),
                nowMicros,
                EndpointState.READY,
                entry.rating());
    }

    /** Its entry of the endpoint list. */
    EndpointEntry listed() {
        EndpointState state = draining ? EndpointState.DRAINING : EndpointState.READY;
        return new EndpointEntry(
                entry.serverId(),
                entry.zone(),
                entry.cell(),
                entry.machineKind(),
                entry.startedAtMicros(),
                state,
                entry.rating());
    }
}
