package sandstack.decisions;

import java.util.List;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/** What operators and failures do to a {@link SimulatedFleet}: restarts, crashes, replacements, lost discovery. */
final class FleetOperations {
    /** Seconds of work that a server queues at least and at most, where that is bounded. */
    private static final double MIN_QUEUE_SECONDS = 0.8;

    private static final double MAX_QUEUE_SECONDS = 2;

    private final SimulatedFleet fleet;

    FleetOperations(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Bounds a server's queue: work beyond it is lost silently. */
    void boundQueue(SimulatedServer server) {
        server.maxQueueSeconds =
                MIN_QUEUE_SECONDS + (MAX_QUEUE_SECONDS - MIN_QUEUE_SECONDS) * fleet.random.nextDouble();
    }

    /** Discovery fails: relays keep the list of this moment. */
    void failDiscovery() {
        List<EndpointEntry> lastList = fleet.endpointList();
        fleet.relays.forEach(relay -> relay.cachedList = lastList);
    }

    /** Discovery works again for one relay. */
    void restoreDiscovery(SimulatedRelay relay) {
        relay.cachedList = null;
        fleet.send(relay, new EndpointListUpdate(EndpointListKind.FULL, fleet.endpointList()));
    }

    /** All relays learn of a server's state, each when its update arrives. */
    void announce(SimulatedServer server) {
        EndpointListUpdate update = new EndpointListUpdate(EndpointListKind.DELTA, List.of(server.listed()));
        fleet.relays.forEach(relay -> fleet.clock.schedule(fleet.between(1_000_000, 2_500_000), () -> {
            if (relay.cachedList == null) {
                fleet.send(relay, update);
            }
        }));
    }

    /** A server sends all its clients away and takes no new ones. */
    void drain(SimulatedServer server) {
        server.draining = true;
        for (SimulatedClient client : List.copyOf(server.clients)) {
            // what its relay learns of one may migrate another away first
            if (client.server == server) {
                fleet.endConnection(client, AttemptOutcome.CANCELLED);
                fleet.reconnect(client, 20_000, 200_000);
            }
        }
        announce(server);
    }

    /** A new server starts under this name; the old one drains and ends soon after. */
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

    /** A server's process dies with all its connections. */
    void crash(SimulatedServer server) {
        server.crash();
        for (SimulatedClient client : List.copyOf(server.clients)) {
            if (client.server == server) {
                fleet.endConnection(client, AttemptOutcome.RESET);
                fleet.reconnect(client, 150_000, 500_000);
            }
        }
    }

    /** A crashed server starts again, with a slow start. */
    void restart(SimulatedServer server) {
        server.restart(fleet.clock.nowMicros());
        announce(server);
    }

    /** SIGKILL: all clients of a relay reconnect elsewhere; the process starts again with its cached list. */
    void kill(SimulatedRelay relay) {
        disconnectAll(relay);
        relay.loadBalancer = null;
        relay.incarnation++;
        fleet.clock.schedule(fleet.between(1_000_000, 3_000_000), () -> fleet.startRelay(relay));
    }

    /** SIGTERM: clients migrate over some time, then the process ends and starts again without any state. */
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
