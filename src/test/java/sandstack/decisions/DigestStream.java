package sandstack.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Adopted;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ClientGone;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.DelayReported;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.Event;
import sandstack.decisions.Decisions.Fail;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.LoadChanged;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.PeerMessage;
import sandstack.decisions.Decisions.ProbeEnded;
import sandstack.decisions.Decisions.Processes;
import sandstack.decisions.Decisions.Refuse;
import sandstack.decisions.Decisions.Relocate;
import sandstack.decisions.Decisions.SetTimer;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.SettingsChanged;
import sandstack.decisions.Decisions.Tenant;
import sandstack.decisions.Decisions.TenantsChanged;
import sandstack.decisions.Decisions.TimerDue;

/**
 * Plays drawn events of one {@link DigestScenario} to a module, reacts to its actions and keeps the digest of them.
 * All draws come from the seed of the scenario. One thread.
 */
final class DigestStream {
    private static final int AVOIDS_EVERY = 8;
    /** An attempt that is out, or a connection that is open. */
    private record Connection(ConnectRequest request, String server, int attempt) {}

    private final DigestScenario scenario;
    private final SplittableRandom random;
    private final DigestServers servers;
    private final Brain brain;
    private final Map<String, ConnectRequest> requests = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<Connection> out = new ArrayList<>();
    private final List<Connection> open = new ArrayList<>();
    private final DigestTimers timers = new DigestTimers();
    private final Deque<Event> followUps = new ArrayDeque<>();
    private Settings settings;
    private DigestCondition condition = DigestCondition.CALM;
    private int conditionEnds = 400;
    private int requested;
    private int events;
    private long now = 70_000_000;
    final ActionDigest digest = new ActionDigest();

    DigestStream(DigestScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        settings = scenario.settings();
        servers = new DigestServers(random, settings.zones());
        brain = new Brain(settings, scenario.book(), scenario.limits(), scenario.seed(), now);
        followUps.add(servers.complete(scenario.seed() % 2 == 0 ? ListKind.SAVED : ListKind.FULL));
    }

    /** Plays one event. */
    void step() {
        if (events >= conditionEnds) {
            condition = DigestCondition.next(random);
            conditionEnds = events + 100 + random.nextInt(400);
        }
        now += random.nextInt(condition.longestPauseMicros);
        Event event = next();
        digest.event(events++, now);
        // the caller's clock may stand still, and the module must not go back with it
        for (Action action : brain.on(event, random.nextInt(40) == 0 ? now - 5_000 : now)) {
            action.dispatch(digest);
            react(action);
        }
        if (events % AVOIDS_EVERY == 0) {
            String server = random.nextInt(20) == 0 ? "unknown" : servers.any().id;
            digest.avoids(server, brain.avoids(server));
        }
    }

    private Event next() {
        if (!followUps.isEmpty()) {
            return followUps.poll();
        }
        OptionalLong token = timers.due(now, random);
        if (token.isPresent()) {
            return new TimerDue(token.getAsLong());
        }
        return switch (condition.kind(random)) {
            case 1 -> out.isEmpty() ? request() : settle();
            case 2 -> open.isEmpty() ? request() : end();
            case 3 -> open.isEmpty() || !scenario.loadsReported() ? request() : load();
            case 4 -> open.isEmpty() || !scenario.delaysReported() ? connected() : delay();
            case 5 -> servers.next(now);
            case 6 -> rare();
            case 7 -> gone();
            default -> request();
        };
    }

    private Event connected() {
        return out.isEmpty() ? request() : settle();
    }

    private ConnectRequest request() {
        String key = random.nextInt(20) == 0 ? null : "k" + random.nextInt(500);
        ConnectRequest request = drawn(key, random.nextInt(4) == 0);
        requests.put(request.id(), request);
        return request;
    }

    private ConnectRequest drawn(String key, boolean returning) {
        int unknownClass = random.nextInt(200) == 0 ? 1 : 0;
        int requestClass = random.nextInt(settings.classes().size() + unknownClass);
        long patience = requestClass < settings.classes().size()
                ? settings.classes().get(requestClass).deadline()
                : 1_000_000;
        return new ConnectRequest(
                "r" + requested++,
                requestClass,
                random.nextInt(5) - 1,
                key,
                settings.sharedGroups() && random.nextInt(12) > 0 ? "g" + (int) Math.sqrt(random.nextInt(400)) : null,
                now + (random.nextInt(12) == 0 ? random.nextInt(120_000) : patience),
                scenario.loadsReported() && random.nextBoolean() ? 20_000 + random.nextInt(20_000) : 0,
                random.nextInt(30) == 0,
                returning);
    }

    private Event settle() {
        Connection attempt = out.get(random.nextInt(out.size()));
        if (random.nextInt(50) == 0) {
            return stale(attempt);
        }
        out.remove(attempt);
        DigestServers.Machine machine = servers.of(attempt.server);
        if (condition.succeeds(machine.number, random)) {
            open.add(attempt);
            machine.failedLast = false;
            machine.rejectedLast = false;
            return new Established(attempt.request.id(), attempt.attempt, attempt.server, 500 + random.nextInt(60_000));
        }
        Outcome outcome = condition.failure(random);
        machine.rejectedLast = outcome == Outcome.FULL;
        machine.failedLast =
                outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT || outcome == Outcome.RESET;
        return ended(attempt, outcome, random.nextInt(10) == 0);
    }

    private Event stale(Connection attempt) {
        String id = random.nextBoolean() ? "nobody" : attempt.request.id();
        int number = attempt.attempt + (random.nextBoolean() ? 1 : -1);
        return new AttemptEnded(id, number, attempt.server, Outcome.ERROR, false, 1_000, null);
    }

    private Event ended(Connection connection, Outcome outcome, boolean requestOver) {
        int tookMicros = 1 + random.nextInt(200_000);
        double[] report = random.nextInt(10) == 0 ? new double[] {0.5, 1} : null;
        return new AttemptEnded(
                connection.request.id(),
                connection.attempt,
                connection.server,
                outcome,
                requestOver,
                tookMicros,
                report);
    }

    private Event end() {
        if (open.size() < 70 && random.nextInt(4) > 0) {
            return request();
        }
        Connection connection = open.remove(random.nextInt(open.size()));
        int draw = random.nextInt(20);
        Outcome outcome = draw < 14 ? Outcome.OK : draw < 18 ? Outcome.RESET : DigestCondition.any(random);
        return ended(connection, outcome, random.nextInt(6) > 0);
    }

    private Event load() {
        Connection connection = open.get(random.nextInt(open.size()));
        double load = condition.load(random);
        if (load > 1e6) {
            // a load that fills any server does not stay, or the stream would see nothing else
            followUps.add(loadOf(connection, 50_000));
        }
        return loadOf(connection, load);
    }

    private static Event loadOf(Connection connection, double load) {
        return new LoadChanged(connection.request.id(), connection.attempt, connection.server, load);
    }

    private Event delay() {
        Connection connection = open.get(random.nextInt(open.size()));
        DigestServers.Machine machine = servers.of(connection.server);
        machine.delayMicros += (condition.delayMicros(random) - machine.delayMicros) * random.nextDouble();
        return new DelayReported(connection.request.id(), connection.attempt, connection.server, machine.delayMicros);
    }

    private Event gone() {
        List<Connection> from = !out.isEmpty() && random.nextBoolean() ? out : open;
        return new ClientGone(
                from.isEmpty() || random.nextInt(20) == 0
                        ? "r" + random.nextInt(requested + 1)
                        : from.remove(random.nextInt(from.size())).request.id());
    }

    private Event rare() {
        return switch (random.nextInt(12)) {
            case 0, 1 -> new TenantsChanged(List.of(
                    new Tenant(5 + random.nextInt(40), 0.4), new Tenant(random.nextInt(60), 0.5), new Tenant(9, 0.1)));
            case 2 -> {
                settings = DigestScenario.reloaded(settings, random);
                yield new SettingsChanged(settings);
            }
            case 3 -> new Processes(random.nextInt(3));
            case 4 -> new ProbeEnded(servers.any().id, Outcome.TIMEOUT, 1_000, null);
            case 5 -> new PeerMessage(1, "text");
            case 6 -> new TimerDue(random.nextInt(500));
            default -> adopted();
        };
    }

    private Event adopted() {
        ConnectRequest request = drawn("k" + random.nextInt(500), true);
        String server = servers.any().id;
        requests.put(request.id(), request);
        attempts.put(request.id(), 1);
        open.add(new Connection(request, server, 0));
        return new Adopted(request, server);
    }

    private void react(Action action) {
        if (action instanceof Attempt attempt) {
            started(attempt);
        } else if (action instanceof SetTimer timer) {
            timers.set(now + timer.after(), timer.token());
        } else if (action instanceof Refuse refusal) {
            finished(refusal.id(), true);
        } else if (action instanceof Fail failure) {
            finished(failure.id(), false);
        } else if (action instanceof Relocate relocation) {
            relocated(relocation.id());
        } else if (random.nextInt(5) > 0) {
            followUps.add(servers.complete(random.nextBoolean() ? ListKind.FULL : ListKind.CHANGES));
        }
    }

    private void started(Attempt attempt) {
        DigestServers.Machine machine = servers.of(attempt.server());
        digest.count(machine.zone == settings.homeZone() ? "home" : "other zone");
        if (machine.failedLast) {
            digest.count("trial after failure");
        }
        if (machine.rejectedLast) {
            digest.count("trial after rejection");
        }
        int number = attempts.merge(attempt.id(), 1, Integer::sum) - 1;
        out.add(new Connection(requests.get(attempt.id()), attempt.server(), number));
    }

    private void finished(String id, boolean refused) {
        ConnectRequest request = requests.get(id);
        if (refused && request != null && random.nextInt(3) == 0) {
            comeAgain(request);
        }
    }

    private void relocated(String id) {
        for (Connection connection : open) {
            if (connection.request.id().equals(id) && random.nextInt(5) > 0) {
                open.remove(connection);
                followUps.add(ended(connection, Outcome.CANCELLED, true));
                comeAgain(connection.request);
                return;
            }
        }
    }

    private void comeAgain(ConnectRequest request) {
        if (followUps.size() < 20) {
            ConnectRequest again = drawn(request.clientKey(), true);
            requests.put(again.id(), again);
            followUps.add(again);
        }
    }
}
