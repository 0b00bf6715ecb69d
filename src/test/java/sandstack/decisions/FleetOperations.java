package sandstack.decisions;

import java.util.List;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/** Operations and failures of a {@link SimulatedFleet}: restarts, crashes, replacements, and outages of discovery. */
final class FleetOperations {
    /** Range from which the bound of a bounded queue is drawn, in seconds of work. */
    private static final double MIN_QUEUE_SECONDS = 0.8;

    private static final double MAX_QUEUE_SECONDS = 2;

    private final SimulatedFleet fleet;

    FleetOperations(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Bounds the queue of a server at a random length; work beyond the bound is lost silently. */
    void boundQueue(SimulatedServer server) {
        server.maxQueueSeconds =
                MIN_QUEUE_SECONDS + (MAX_QUEUE_SECONDS - MIN_QUEUE_SECONDS) * fleet.random.nextDouble();
    }

    /** Starts a discovery outage: relays keep the current list. */
    void failDiscovery() {
        List<EndpointEntry> lastList = fleet.endpointList();
        fleet.relays.forEach(relay -> relay.cachedList = lastList);
    }

    /** Ends the discovery outage for one relay. */
    void restoreDiscovery(SimulatedRelay relay) {
        relay.cachedList = null;
        fleet.send(relay, new EndpointListUpdate(EndpointListKind.FULL, fleet.endpointList()));
    }

    /** Sends the state of a server to all relays, each after its own delay. */
    void announce(SimulatedServer server) {
        EndpointListUpdate update = new EndpointListUpdate(EndpointListKind.DELTA, List.of(server.listed()));
        fleet.relays.forEach(relay -> fleet.clock.schedule(fleet.between(1_000_000, 2_500_000), () -> {
            if (relay.cachedList == null) {
                fleet.send(relay, update);
            }
        }));
    }

    /** Drains a server: it closes its connections and accepts no new ones. */
    void drain(SimulatedServer server) {
        server.draining = true;
        for (SimulatedClient client : List.copyOf(server.clients)) {
            // ending the connection of another client may have made a relay migrate this one already
            if (client.server == server) {
                fleet.endConnection(client, AttemptOutcome.CANCELLED);
                fleet.reconnect(client, 20_000, 200_000);
            }
        }
        announce(server);
    }

    /** Replaces a server by a new one of this name: the new one starts, then the old one drains and stops. */
    void replace(SimulatedServer old, String name) {
        SimulatedServer replacement = fleet.addServer(name, old.entry.rating(), fleet.clock.nowMicros());
        boundQueue(replacement);
        announce(replacement);
        fleet.clock.schedule(1_500_000, () -> drain(old));
        fleet.clock.schedule(3_500_000, () -> {
            old.crash();
            old.clients.forEach(client -> client.server = null);
        });
    }

    /** Crashes the process of a server, which resets all its connections. */
    void crash(SimulatedServer server) {
        server.crash();
        for (SimulatedClient client : List.copyOf(server.clients)) {
            if (client.server == server) {
                fleet.endConnection(client, AttemptOutcome.RESET);
                fleet.reconnect(client, 150_000, 500_000);
            }
        }
    }

    /** Starts a crashed server again; it goes through a slow start. */
    void restart(SimulatedServer server) {
        server.restart(fleet.clock.nowMicros());
        announce(server);
    }

    /**
     * Kills a relay (SIGKILL): its clients reconnect to other relays, and the process starts again with the cached
     * endpoint list only.
     */
    void kill(SimulatedRelay relay) {
        disconnectAll(relay);
        relay.loadBalancer = null;
        relay.incarnation++;
        fleet.clock.schedule(fleet.between(1_000_000, 3_000_000), () -> fleet.startRelay(relay));
    }

    /**
     * Restarts a relay (SIGTERM): its clients migrate over some time, then the process stops and starts again, also
     * with the cached endpoint list only.
     */
    void restart(SimulatedRelay relay) {
        relay.draining = true;
        int incarnation = relay.incarnation;
        for (SimulatedClient client : List.copyOf(relay.clients.values())) {
            fleet.clock.schedule(fleet.between(500_000, 2_000_000), () -> {
                if (client.relay == relay && relay.incarnation == incarnation) {
                    fleet.disconnect(client);
                    fleet.reconnect(client, 20_000, 200_000);
                }
            });
        }
        fleet.clock.schedule(2_600_000, () -> {
            disconnectAll(relay);
            relay.loadBalancer = null;
        });
        fleet.clock.schedule(3_800_000, () -> fleet.startRelay(relay));
    }

    private void disconnectAll(SimulatedRelay relay) {
        for (SimulatedClient client : List.copyOf(relay.clients.values())) {
            fleet.disconnect(client);
            fleet.reconnect(client, 150_000, 500_000);
        }
    }
}
