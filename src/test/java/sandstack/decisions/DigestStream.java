package sandstack.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import sandstack.decisions.BalancerAction.Fail;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.Reject;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.HealthCheckEnded;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.PeerMessage;
import sandstack.decisions.BalancerEvent.ProcessCountChanged;
import sandstack.decisions.BalancerEvent.SettingsChanged;
import sandstack.decisions.BalancerEvent.TenantsChanged;
import sandstack.decisions.BalancerEvent.TimerExpired;

/**
 * Sends the random events of one {@link DigestScenario} to a load balancer, reacts to its actions and digests them. All
 * random draws use the seed of the scenario. Not thread-safe.
 */
final class DigestStream {
    private static final int CLOSED_CHECK_INTERVAL_EVENTS = 8;
    /** An attempt in flight or an established connection. */
    private record Connection(ConnectRequested request, String server, int attempt) {}

    private final DigestScenario scenario;
    private final SplittableRandom random;
    private final DigestServers servers;
    private final LoadBalancer loadBalancer;
    private final Map<String, ConnectRequested> requests = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<Connection> attemptsInFlight = new ArrayList<>();
    private final List<Connection> establishedConnections = new ArrayList<>();
    private final DigestTimers timers = new DigestTimers();
    private final Deque<BalancerEvent> followUps = new ArrayDeque<>();
    private BalancerSettings settings;
    private DigestCondition condition = DigestCondition.CALM;
    private int conditionEndEvent = 400;
    private int requestCount;
    private int eventCount;
    private long nowMicros = 70_000_000;
    final ActionDigest digest = new ActionDigest();

    DigestStream(DigestScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        settings = scenario.settings();
        servers = new DigestServers(random, settings.zoneCount());
        loadBalancer =
                new LoadBalancer(settings, scenario.statedCapacities(), scenario.limits(), scenario.seed(), nowMicros);
        followUps.add(servers.fullList(scenario.seed() % 2 == 0 ? EndpointListKind.CACHED : EndpointListKind.FULL));
    }

    /** Sends one event. */
    void step() {
        if (eventCount >= conditionEndEvent) {
            condition = DigestCondition.next(random);
            conditionEndEvent = eventCount + 100 + random.nextInt(400);
        }
        nowMicros += random.nextInt(condition.longestPauseMicros);
        BalancerEvent event = nextEvent();
        digest.event(eventCount++, nowMicros);
        // the clock of the caller may go back, but the time of the load balancer must not
        for (BalancerAction action :
                loadBalancer.handle(event, random.nextInt(40) == 0 ? nowMicros - 5_000 : nowMicros)) {
            action.dispatch(digest);
            react(action);
        }
        if (eventCount % CLOSED_CHECK_INTERVAL_EVENTS == 0) {
            String server = random.nextInt(20) == 0 ? "unknown" : servers.any().id;
            digest.closed(server, loadBalancer.isClosedToNewRequests(server));
        }
    }

    private BalancerEvent nextEvent() {
        if (!followUps.isEmpty()) {
            return followUps.poll();
        }
        OptionalLong token = timers.pollDue(nowMicros, random);
        if (token.isPresent()) {
            return new TimerExpired(token.getAsLong());
        }
        return switch (condition.kind(random)) {
            case 1 -> attemptsInFlight.isEmpty() ? request() : endAttempt();
            case 2 -> establishedConnections.isEmpty() ? request() : endConnection();
            case 3 -> establishedConnections.isEmpty() || !scenario.loadsReported() ? request() : reportLoad();
            case 4 -> establishedConnections.isEmpty() || !scenario.delaysReported()
                    ? attemptOrRequest()
                    : reportDelay();
            case 5 -> servers.next(nowMicros);
            case 6 -> rareEvent();
            case 7 -> disconnect();
            default -> request();
        };
    }

    private BalancerEvent attemptOrRequest() {
        return attemptsInFlight.isEmpty() ? request() : endAttempt();
    }

    private ConnectRequested request() {
        String key = random.nextInt(20) == 0 ? null : "k" + random.nextInt(500);
        ConnectRequested request = randomRequest(key, random.nextInt(4) == 0);
        requests.put(request.requestId(), request);
        return request;
    }

    private ConnectRequested randomRequest(String key, boolean returning) {
        int unknownClass = random.nextInt(200) == 0 ? 1 : 0;
        int requestClass = random.nextInt(settings.classes().size() + unknownClass);
        long waitMicros = requestClass < settings.classes().size()
                ? settings.classes().get(requestClass).deadlineMicros()
                : 1_000_000;
        return new ConnectRequested(
                "r" + requestCount++,
                requestClass,
                random.nextInt(5) - 1,
                key,
                settings.sharedGroups() && random.nextInt(12) > 0 ? "g" + (int) Math.sqrt(random.nextInt(400)) : null,
                nowMicros + (random.nextInt(12) == 0 ? random.nextInt(120_000) : waitMicros),
                scenario.loadsReported() && random.nextBoolean() ? 20_000 + random.nextInt(20_000) : 0,
                random.nextInt(30) == 0,
                returning);
    }

    private BalancerEvent endAttempt() {
        Connection attempt = attemptsInFlight.get(random.nextInt(attemptsInFlight.size()));
        if (random.nextInt(50) == 0) {
            return staleAttemptEnd(attempt);
        }
        attemptsInFlight.remove(attempt);
        DigestServers.Machine machine = servers.of(attempt.server);
        if (condition.succeeds(machine.number, random)) {
            establishedConnections.add(attempt);
            machine.failedLast = false;
            machine.rejectedLast = false;
            return new ConnectionEstablished(
                    attempt.request.requestId(), attempt.attempt, attempt.server, 500 + random.nextInt(60_000));
        }
        AttemptOutcome outcome = condition.failure(random);
        machine.rejectedLast = outcome == AttemptOutcome.REJECTED;
        machine.failedLast = outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET;
        return attemptEnded(attempt, outcome, random.nextInt(10) == 0);
    }

    private BalancerEvent staleAttemptEnd(Connection attempt) {
        String id = random.nextBoolean() ? "nobody" : attempt.request.requestId();
        int number = attempt.attempt + (random.nextBoolean() ? 1 : -1);
        return new AttemptEnded(id, number, attempt.server, AttemptOutcome.ERROR, false, 1_000, null);
    }

    private BalancerEvent attemptEnded(Connection connection, AttemptOutcome outcome, boolean requestFinished) {
        int elapsedMicros = 1 + random.nextInt(200_000);
        double[] report = random.nextInt(10) == 0 ? new double[] {0.5, 1} : null;
        return new AttemptEnded(
                connection.request.requestId(),
                connection.attempt,
                connection.server,
                outcome,
                requestFinished,
                elapsedMicros,
                report);
    }

    private BalancerEvent endConnection() {
        if (establishedConnections.size() < 70 && random.nextInt(4) > 0) {
            return request();
        }
        Connection connection = establishedConnections.remove(random.nextInt(establishedConnections.size()));
        int draw = random.nextInt(20);
        AttemptOutcome outcome =
                draw < 14 ? AttemptOutcome.OK : draw < 18 ? AttemptOutcome.RESET : DigestCondition.any(random);
        return attemptEnded(connection, outcome, random.nextInt(6) > 0);
    }

    private BalancerEvent reportLoad() {
        Connection connection = establishedConnections.get(random.nextInt(establishedConnections.size()));
        double load = condition.load(random);
        if (load > 1e6) {
            // followed by a normal load: a load that fills any server would otherwise dominate the rest of the stream
            followUps.add(loadReported(connection, 50_000));
        }
        return loadReported(connection, load);
    }

    private static BalancerEvent loadReported(Connection connection, double load) {
        return new LoadReported(connection.request.requestId(), connection.attempt, connection.server, load);
    }

    private BalancerEvent reportDelay() {
        Connection connection = establishedConnections.get(random.nextInt(establishedConnections.size()));
        DigestServers.Machine machine = servers.of(connection.server);
        machine.delayMicros += (condition.delayMicros(random) - machine.delayMicros) * random.nextDouble();
        return new DelayReported(
                connection.request.requestId(), connection.attempt, connection.server, machine.delayMicros);
    }

    private BalancerEvent disconnect() {
        List<Connection> from =
                !attemptsInFlight.isEmpty() && random.nextBoolean() ? attemptsInFlight : establishedConnections;
        return new ClientDisconnected(
                from.isEmpty() || random.nextInt(20) == 0
                        ? "r" + random.nextInt(requestCount + 1)
                        : from.remove(random.nextInt(from.size())).request.requestId());
    }

    private BalancerEvent rareEvent() {
        return switch (random.nextInt(12)) {
            case 0, 1 -> new TenantsChanged(List.of(
                    new Tenant(5 + random.nextInt(40), 0.4), new Tenant(random.nextInt(60), 0.5), new Tenant(9, 0.1)));
            case 2 -> {
                settings = DigestScenario.reloaded(settings, random);
                yield new SettingsChanged(settings);
            }
            case 3 -> new ProcessCountChanged(random.nextInt(3));
            case 4 -> new HealthCheckEnded(servers.any().id, AttemptOutcome.TIMEOUT, 1_000, null);
            case 5 -> new PeerMessage(1, "text");
            case 6 -> new TimerExpired(random.nextInt(500));
            default -> adopt();
        };
    }

    private BalancerEvent adopt() {
        ConnectRequested request = randomRequest("k" + random.nextInt(500), true);
        String server = servers.any().id;
        requests.put(request.requestId(), request);
        attempts.put(request.requestId(), 1);
        establishedConnections.add(new Connection(request, server, 0));
        return new ConnectionAdopted(request, server);
    }

    private void react(BalancerAction action) {
        if (action instanceof StartAttempt attempt) {
            onAttemptStarted(attempt);
        } else if (action instanceof SetTimer timer) {
            timers.set(nowMicros + timer.delayMicros(), timer.token());
        } else if (action instanceof Reject rejection) {
            onFinished(rejection.requestId(), true);
        } else if (action instanceof Fail failure) {
            onFinished(failure.requestId(), false);
        } else if (action instanceof Migrate migration) {
            onMigrated(migration.requestId());
        } else if (random.nextInt(5) > 0) {
            followUps.add(servers.fullList(random.nextBoolean() ? EndpointListKind.FULL : EndpointListKind.DELTA));
        }
    }

    private void onAttemptStarted(StartAttempt attempt) {
        DigestServers.Machine machine = servers.of(attempt.serverId());
        digest.count(machine.zone == settings.homeZone() ? "home" : "other zone");
        if (machine.failedLast) {
            digest.count("trial after failure");
        }
        if (machine.rejectedLast) {
            digest.count("trial after rejection");
        }
        int number = attempts.merge(attempt.requestId(), 1, Integer::sum) - 1;
        attemptsInFlight.add(new Connection(requests.get(attempt.requestId()), attempt.serverId(), number));
    }

    private void onFinished(String id, boolean rejected) {
        ConnectRequested request = requests.get(id);
        if (rejected && request != null && random.nextInt(3) == 0) {
            reconnect(request);
        }
    }

    private void onMigrated(String id) {
        for (Connection connection : establishedConnections) {
            if (connection.request.requestId().equals(id) && random.nextInt(5) > 0) {
                establishedConnections.remove(connection);
                followUps.add(attemptEnded(connection, AttemptOutcome.CANCELLED, true));
                reconnect(connection.request);
                return;
            }
        }
    }

    private void reconnect(ConnectRequested request) {
        if (followUps.size() < 20) {
            ConnectRequested retry = randomRequest(request.clientKey(), true);
            requests.put(retry.requestId(), retry);
            followUps.add(retry);
        }
    }
}
