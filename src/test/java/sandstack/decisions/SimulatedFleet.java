package sandstack.decisions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.TimerExpired;

/**
 * Many load balancers with their servers and clients, on one simulated clock. A {@link SimulatedServer} queues the work
 * that it cannot do; when the queue exceeds one second of work, it drops its newest connections. Relays only observe
 * what happens to their own connections, and they receive endpoint list updates seconds late. Loads are reported once a
 * connection is established. {@link FleetOperations} applies restarts and failures, and {@link FleetScenarios} defines
 * when.
 */
final class SimulatedFleet {
    private static final long STEP_MICROS = 20_000;
    private static final long SETUP_MICROS = 30_000;
    /** Message delay at which a server drops connections. */
    private static final long DROP_DELAY_MICROS = 1_000_000;
    /** Fraction of a server's capacity that its remaining connections use at most after a drop. */
    private static final double REMAINING_LOAD_FRACTION = 0.2;

    final SimulatedClock clock = new SimulatedClock();
    final Random random;
    final List<SimulatedRelay> relays = new ArrayList<>();
    private final boolean omniscient;
    /** Units of work per second of a server of rating 1, before the random factor of {@link #addServer}. */
    private final double baseUnitsPerSecond;

    private final int zoneCount;
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private int requestCount;
    private double requestedWeight;
    private double servedWeight;
    private int droppedCount;
    private int rejectedCount;

    /**
     * Creates relays without servers, spread over the zones.
     *
     * @param omniscient servers are chosen by their true state instead of by the load balancers
     */
    SimulatedFleet(long seed, int relayCount, int zoneCount, double baseUnitsPerSecond, boolean omniscient) {
        this.omniscient = omniscient;
        this.baseUnitsPerSecond = baseUnitsPerSecond;
        this.random = new Random(seed);
        this.zoneCount = zoneCount;
        for (int index = 0; index < relayCount; index++) {
            relays.add(new SimulatedRelay(index, index % zoneCount));
        }
    }

    Collection<SimulatedServer> servers() {
        return servers.values();
    }

    /** Draws a duration uniformly from a range. */
    long between(long minMicros, long maxMicros) {
        return minMicros + (long) (random.nextDouble() * (maxMicros - minMicros));
    }

    /** Adds a server whose capacity is 0.9 to 1.5 times the base capacity of its rating, drawn uniformly. */
    SimulatedServer addServer(String name, double rating, long startedAtMicros) {
        int zone = Math.floorMod(name.hashCode(), 97) % zoneCount;
        SimulatedServer server = new SimulatedServer(
                new EndpointEntry(name, zone, 0, 0, startedAtMicros, EndpointState.READY, rating),
                rating * baseUnitsPerSecond * (0.9 + 0.6 * random.nextDouble()));
        servers.put(name, server);
        return server;
    }

    /** Adds a disconnected client. The greater the skew, the more uneven are the sizes of groups. */
    SimulatedClient addClient(int number, int groupCount, double skew) {
        String group = "g" + (int) (groupCount * Math.pow(random.nextDouble(), skew));
        SimulatedClient client =
                new SimulatedClient("k" + number, group, random.nextInt(zoneCount), random.nextDouble());
        clients.add(client);
        return client;
    }

    /** Starts the process of a relay, which only has a cached endpoint list. */
    void startRelay(SimulatedRelay relay) {
        relay.loadBalancer = new LoadBalancer(
                relay.settings(relays.size(), zoneCount),
                BalancerHarness.PLATFORM_CAPACITIES,
                InstallationLimits.NONE,
                random.nextLong(),
                clock.nowMicros());
        relay.draining = false;
        relay.incarnation++;
        List<EndpointEntry> list = relay.cachedList != null ? relay.cachedList : endpointList();
        send(relay, new EndpointListUpdate(EndpointListKind.CACHED, list));
    }

    /** The endpoint list of discovery. */
    List<EndpointEntry> endpointList() {
        return servers.values().stream()
                .filter(server -> !server.down)
                .map(SimulatedServer::listed)
                .toList();
    }

    /**
     * Establishes the connection of a client, at a server chosen by {@link OmniscientPlacement}, before the simulation
     * begins.
     */
    void adopt(SimulatedClient client) {
        SimulatedServer server = OmniscientPlacement.initialServer(client, servers.values());
        List<SimulatedRelay> homeRelays =
                relays.stream().filter(relay -> relay.zone == client.zone).toList();
        SimulatedRelay relay = homeRelays.get(random.nextInt(homeRelays.size()));
        assign(client, relay);
        client.server = server;
        server.clients.add(client);
        relay.attemptCounts.put(client.requestId, 1);
        send(relay, new ConnectionAdopted(client.connectRequest(clock.nowMicros()), server.entry.serverId()));
    }

    private void assign(SimulatedClient client, SimulatedRelay relay) {
        client.requestId = "c" + requestCount++;
        client.relay = relay;
        relay.clients.put(client.requestId, client);
    }

    /** Sends the connection request of a client to a random relay of its zone, once one is running. */
    void connect(SimulatedClient client) {
        List<SimulatedRelay> available = relays.stream()
                .filter(relay -> relay.loadBalancer != null && !relay.draining && relay.zone == client.zone)
                .toList();
        if (available.isEmpty()) {
            clock.schedule(200_000, () -> connect(client));
            return;
        }
        SimulatedRelay relay = available.get(random.nextInt(available.size()));
        assign(client, relay);
        send(relay, client.connectRequest(clock.nowMicros()));
    }

    void reconnect(SimulatedClient client, long minDelayMicros, long maxDelayMicros) {
        client.returning = true;
        clock.schedule(between(minDelayMicros, maxDelayMicros), () -> connect(client));
    }

    /** Removes a client from its relay, which also closes its connection. */
    void disconnect(SimulatedClient client) {
        if (client.relay != null) {
            client.relay.clients.remove(client.requestId);
            client.relay = null;
        }
        if (client.server != null) {
            client.server.clients.remove(client);
            client.server = null;
        }
    }

    /** Ends an established connection; its relay observes the outcome. */
    void endConnection(SimulatedClient client, AttemptOutcome outcome) {
        SimulatedServer server = client.server;
        SimulatedRelay relay = client.relay;
        String requestId = client.requestId;
        disconnect(client);
        if (outcome == AttemptOutcome.CANCELLED && server.draining) {
            // a relay treats a server that closes its connections in this way as draining
            send(relay, new EndpointListUpdate(EndpointListKind.DELTA, List.of(server.listed())));
        }
        int attempt = relay.attemptCounts.get(requestId) - 1;
        send(relay, new AttemptEnded(requestId, attempt, server.entry.serverId(), outcome, true, 1_000_000, null));
    }

    void send(SimulatedRelay relay, BalancerEvent event) {
        if (relay.loadBalancer == null) {
            return;
        }
        int incarnation = relay.incarnation;
        for (BalancerAction action : relay.loadBalancer.handle(event, clock.nowMicros())) {
            if (action instanceof StartAttempt attempt) {
                startAttempt(relay, attempt);
            } else if (action instanceof SetTimer timer) {
                clock.schedule(timer.delayMicros(), () -> {
                    if (relay.incarnation == incarnation) {
                        send(relay, new TimerExpired(timer.token()));
                    }
                });
            } else if (action instanceof Reject rejection) {
                onFinalAnswer(relay, rejection.requestId(), rejection.retryAfterMicros());
            } else if (action instanceof Fail failure) {
                onFinalAnswer(relay, failure.requestId(), 500_000);
            } else if (action instanceof Migrate migration) {
                migrate(relay.clients.get(migration.requestId()));
            }
        }
    }

    private void migrate(SimulatedClient client) {
        if (client != null && client.server != null) {
            endConnection(client, AttemptOutcome.CANCELLED);
            reconnect(client, 20_000, 200_000);
        }
    }

    private void onFinalAnswer(SimulatedRelay relay, String requestId, long retryAfterMicros) {
        SimulatedClient client = relay.clients.remove(requestId);
        if (client != null) {
            rejectedCount++;
            client.relay = null;
            reconnect(client, Math.max(150_000, retryAfterMicros), Math.max(500_000, retryAfterMicros));
            client.returning = false;
        }
    }

    private void startAttempt(SimulatedRelay relay, StartAttempt attempt) {
        SimulatedClient client = relay.clients.get(attempt.requestId());
        if (client == null) {
            return;
        }
        int incarnation = relay.incarnation;
        int attemptNumber = relay.attemptCounts.merge(attempt.requestId(), 1, Integer::sum) - 1;
        SimulatedServer server = omniscient
                ? OmniscientPlacement.server(client, servers.values(), clock.nowMicros())
                : servers.get(attempt.serverId());
        clock.schedule(SETUP_MICROS, () -> {
            boolean current = relay.incarnation == incarnation
                    && client.relay == relay
                    && attempt.requestId().equals(client.requestId);
            if (current) {
                finishAttempt(client, attempt, attemptNumber, server);
            }
        });
    }

    private void finishAttempt(
            SimulatedClient client, StartAttempt attempt, int attemptNumber, SimulatedServer server) {
        SimulatedRelay relay = client.relay;
        String requestId = attempt.requestId();
        String serverId = attempt.serverId();
        if (server.down || server.draining) {
            AttemptOutcome outcome = server.down ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.REJECTED;
            send(relay, new AttemptEnded(requestId, attemptNumber, serverId, outcome, false, SETUP_MICROS, null));
            return;
        }
        server.establish(client);
        client.server = server;
        send(relay, new ConnectionEstablished(requestId, attemptNumber, server.entry.serverId(), SETUP_MICROS));
        send(relay, new LoadReported(requestId, attemptNumber, serverId, client.reportedLoad()));
    }

    /** Advances the clock; in each step, servers work and the requested and served weights are counted. */
    void run(long durationMicros) {
        long endMicros = clock.nowMicros() + durationMicros;
        while (clock.nowMicros() < endMicros) {
            clock.advance(STEP_MICROS);
            servers.values().forEach(this::work);
            clients.forEach(client -> requestedWeight += client.weight());
        }
    }

    private void work(SimulatedServer server) {
        double delayMicros = server.work(clock.nowMicros(), STEP_MICROS);
        if (delayMicros < SimulatedRelay.MESSAGE_OBJECTIVE_MICROS) {
            server.clients.forEach(client -> servedWeight += client.weight());
        } else if (delayMicros > DROP_DELAY_MICROS) {
            drop(server, REMAINING_LOAD_FRACTION * server.currentUnitsPerSecond(clock.nowMicros()));
        }
    }

    private void drop(SimulatedServer server, double remainingLoad) {
        for (SimulatedClient client : server.newestBeyond(remainingLoad)) {
            // ending the connection of another client may have made a relay migrate this one already
            if (client.server == server) {
                droppedCount++;
                endConnection(client, AttemptOutcome.RESET);
                reconnect(client, 150_000, 400_000);
            }
        }
        server.shrinkQueue();
    }

    /** Resets the counts that {@link #measure} reports. */
    void resetCounts() {
        requestedWeight = 0;
        servedWeight = 0;
        droppedCount = 0;
        rejectedCount = 0;
    }

    /**
     * Advances the simulation and returns the results since the counts were last reset; the last third is that of this
     * duration.
     */
    SimulationResult measure(long durationMicros) {
        run(durationMicros / 3 * 2);
        double servedBefore = servedWeight;
        double requestedBefore = requestedWeight;
        run(durationMicros / 3);
        int groupServerPairs = servers.values().stream()
                .mapToInt(server -> (int) server.groupCount())
                .sum();
        return new SimulationResult(
                servedWeight / requestedWeight,
                (servedWeight - servedBefore) / (requestedWeight - requestedBefore),
                droppedCount,
                rejectedCount,
                groupServerPairs);
    }
}
