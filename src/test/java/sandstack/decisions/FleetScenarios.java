package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;

/** Incident scenarios of a {@link SimulatedFleet}, each with its timeline. Stateless. */
final class FleetScenarios {
    private static final int ZONE_COUNT = 3;
    /**
     * Units of work per second of a server of rating 1, before the random factor of {@link SimulatedFleet#addServer}.
     */
    private static final double BASE_UNITS_PER_SECOND = 19.5;
    /**
     * The same for scenarios whose clients connect through the relays. It is higher, because the relays spread groups
     * over more servers than they need.
     */
    private static final double BASE_UNITS_PER_SECOND_SPREAD = 23.4;

    private FleetScenarios() {}

    /** A fleet whose clients have all been connected for one second; the counts are reset at its end. */
    private static SimulatedFleet connectedFleet(
            long seed, int relayCount, int serverCount, int clientCount, int groupCount, boolean omniscient) {
        SimulatedFleet fleet = new SimulatedFleet(seed, relayCount, ZONE_COUNT, BASE_UNITS_PER_SECOND, omniscient);
        for (int i = 0; i < serverCount; i++) {
            fleet.addServer("s" + seed + "-" + i, i % 2 == 0 ? 1.0 : 1.5, 0);
        }
        fleet.relays.forEach(fleet::startRelay);
        for (int i = 0; i < clientCount; i++) {
            fleet.adopt(fleet.addClient(i, groupCount, 2));
        }
        fleet.run(1_000_000);
        fleet.resetCounts();
        return fleet;
    }

    /**
     * Half of the servers are replaced in steps while all relays restart, a tenth of the relays at a time.
     *
     * @param omniscient servers are chosen by their true state instead of by the load balancers
     */
    static SimulationResult rollingRestart(
            long seed, int relayCount, int serverCount, int clientCount, int groupCount, boolean omniscient) {
        SimulatedFleet fleet = connectedFleet(seed, relayCount, serverCount, clientCount, groupCount, omniscient);
        FleetOperations operations = new FleetOperations(fleet);
        for (int i = 0; i < relayCount; i++) {
            SimulatedRelay relay = fleet.relays.get(i);
            long delayMicros = 1_500_000 + i / Math.max(1, relayCount / 10) * 1_600_000L;
            fleet.clock.schedule(delayMicros, () -> operations.restart(relay));
        }
        List<SimulatedServer> replaced = new ArrayList<>(fleet.servers()).subList(0, serverCount / 2);
        for (int i = 0; i < replaced.size(); i++) {
            SimulatedServer old = replaced.get(i);
            String name = "n" + seed + "-" + i;
            long delayMicros = 1_500_000 + i / Math.max(1, serverCount / 8) * 2_600_000L;
            fleet.clock.schedule(
                    delayMicros,
                    () -> operations.announce(fleet.addServer(name, old.entry.rating(), fleet.clock.nowMicros())));
            fleet.clock.schedule(delayMicros + 1_500_000, () -> operations.drain(old));
        }
        return fleet.measure(24_000_000);
    }

    /** All servers of one zone crash after 9 s; each starts again 4 to 5.5 s later. */
    static SimulationResult zoneOutage(long seed, int relayCount, int serverCount, int clientCount, int groupCount) {
        SimulatedFleet fleet = connectedFleet(seed, relayCount, serverCount, clientCount, groupCount, false);
        FleetOperations operations = new FleetOperations(fleet);
        for (SimulatedServer server : fleet.servers()) {
            if (server.entry.zone() == 1) {
                fleet.clock.schedule(9_000_000, () -> operations.crash(server));
                fleet.clock.schedule(9_000_000 + fleet.between(4_000_000, 5_500_000), () -> operations.restart(server));
            }
        }
        return fleet.measure(28_000_000);
    }

    /**
     * During a discovery outage, about 70 % of the relays are killed and a release starts that replaces about half of
     * the servers. Clients connect through the relays, so that groups are on more servers than they need. Endpoint
     * lists reach the relays seconds late, and restarted relays have the list from before the outage.
     *
     * @param omniscient servers are chosen by their true state instead of by the load balancers
     */
    static SimulationResult releaseDuringDiscoveryOutage(
            long seed, int relayCount, int serverCount, int clientCount, int groupCount, boolean omniscient) {
        SimulatedFleet fleet =
                new SimulatedFleet(seed, relayCount, ZONE_COUNT, BASE_UNITS_PER_SECOND_SPREAD, omniscient);
        FleetOperations operations = new FleetOperations(fleet);
        for (int i = 0; i < serverCount; i++) {
            operations.boundQueue(fleet.addServer("s" + seed + "-" + i, i % 2 == 0 ? 1.0 : 1.5, 0));
        }
        fleet.relays.forEach(fleet::startRelay);
        for (int i = 0; i < clientCount; i++) {
            SimulatedClient client = fleet.addClient(i, groupCount, 1.3);
            fleet.clock.schedule(fleet.between(0, 1_500_000), () -> fleet.connect(client));
        }
        fleet.clock.schedule(9_000_000, operations::failDiscovery);
        fleet.clock.schedule(12_300_000, () -> fleet.relays.stream()
                .filter(relay -> fleet.random.nextDouble() < 0.7)
                .forEach(operations::kill));
        fleet.relays.forEach(relay ->
                fleet.clock.schedule(fleet.between(17_000_000, 22_000_000), () -> operations.restoreDiscovery(relay)));
        List<SimulatedServer> replaced = new ArrayList<>(fleet.servers()).subList(0, serverCount * 17 / 31);
        for (int i = 0; i < replaced.size(); i++) {
            SimulatedServer old = replaced.get(i);
            String name = "n" + seed + "-" + i;
            fleet.clock.schedule(9_000_000 + 15_000_000L * i / replaced.size(), () -> operations.replace(old, name));
        }
        return fleet.measure(28_000_000);
    }
}
