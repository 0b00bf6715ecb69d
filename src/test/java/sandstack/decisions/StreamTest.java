package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandstack.capacity.InstallationLimits;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.TenantsChanged;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * Sends thousands of mixed events to the load balancer and compares a digest of all its actions with a stored one. A
 * change that is not meant to change behaviour leaves every digest unchanged.
 */
class StreamTest {
    private static final int EVENT_COUNT = 12_000;
    private static final int SERVER_COUNT = 14;

    /** One event stream with its attempts in flight, established connections and running timers. */
    private static final class Stream {
        final SplittableRandom random;
        final BalancerSettings settings;
        final LoadBalancer loadBalancer;
        final MessageDigest digest;
        final Map<String, StartAttempt> attemptsInFlight = new LinkedHashMap<>();
        final Map<String, StartAttempt> established = new LinkedHashMap<>();
        final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
        final TreeMap<Long, List<Long>> timers = new TreeMap<>();
        final EndpointState[] states = new EndpointState[SERVER_COUNT];
        final long[] startTimes = new long[SERVER_COUNT];
        final boolean reportsDelays;
        final boolean reportsLoads;
        long nowMicros = 70_000_000;
        long actionCount;
        int requestCount;

        Stream(String kind, long seed) throws NoSuchAlgorithmException {
            random = new SplittableRandom(seed);
            reportsDelays = kind.contains("delays");
            reportsLoads = kind.contains("loads");
            settings = settings(kind);
            loadBalancer = new LoadBalancer(
                    settings, BalancerHarness.PLATFORM_CAPACITIES, InstallationLimits.NONE, seed, nowMicros);
            digest = MessageDigest.getInstance("SHA-256");
            java.util.Arrays.fill(states, EndpointState.READY);
        }

        static BalancerSettings settings(String kind) {
            RequestClass light =
                    new RequestClass(320_000, 2_000_000, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 100_000);
            RequestClass heavy = new RequestClass(
                    500_000, 3_000_000, 1, Idempotency.WITH_KEY, DeduplicationScope.ZONE, 800_000, 150_000);
            RequestClass nonIdempotent =
                    new RequestClass(500_000, 3_000_000, 2, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.CELL, 0, 0);
            return BalancerSettingsBuilder.of(List.of(light, heavy, nonIdempotent))
                    .relayIndex(1)
                    .relayCount(3)
                    .zoneCount(3)
                    .tenants(List.of(new Tenant(20, 0.5), new Tenant(60, 0.5)))
                    .overQuotaWeight(kind.contains("tenants") ? 0.2 : 1)
                    .sharedGroups(kind.contains("groups"))
                    .endpointListPolled(true)
                    .pollIntervalMicros(10_000_000)
                    .maxAttempts(5)
                    .connectTimeoutMicros(50_000)
                    .retryAfterHonored(true)
                    .maxRetryAfterMicros(1_500_000)
                    .healthCheckCost(0.002)
                    .gossipCost(0.01)
                    .crossZoneCost(0.1)
                    .migrationCost(0.012)
                    .drainGraceMicros(300_000)
                    .slowStartInitialFraction(0.3)
                    .slowStartDurationMicros(8_000_000)
                    .overloadMultiple(3)
                    .overloadWindowMicros(1_500_000)
                    .build();
        }

        EndpointEntry entry(int i) {
            return new EndpointEntry("s" + i, i % 3, i / 3, i % 2, startTimes[i], states[i], 0.7 + i % 4 * 0.3);
        }

        void send(BalancerEvent event) {
            for (BalancerAction action : loadBalancer.handle(event, nowMicros)) {
                digest.update((nowMicros + " " + ActionText.of(action) + "\n").getBytes(StandardCharsets.UTF_8));
                actionCount++;
                if (action instanceof StartAttempt attempt) {
                    attemptsInFlight.put(attempt.requestId(), attempt);
                    attemptCounts.merge(attempt.requestId(), 1, Integer::sum);
                } else if (action instanceof SetTimer timer) {
                    timers.computeIfAbsent(nowMicros + timer.delayMicros(), k -> new ArrayList<>())
                            .add(timer.token());
                } else if (action instanceof Migrate migration
                        && established.containsKey(migration.requestId())
                        && random.nextInt(4) > 0) {
                    endAttempt(migration.requestId(), AttemptOutcome.CANCELLED, true);
                }
            }
        }

        void endAttempt(String id, AttemptOutcome outcome, boolean requestFinished) {
            StartAttempt attempt =
                    attemptsInFlight.containsKey(id) ? attemptsInFlight.remove(id) : established.remove(id);
            send(new AttemptEnded(
                    id,
                    attemptCounts.get(id) - 1,
                    attempt.serverId(),
                    outcome,
                    requestFinished,
                    1 + random.nextInt(90_000),
                    null));
        }

        String anyOf(Map<String, StartAttempt> attempts) {
            int position = random.nextInt(attempts.size());
            return new ArrayList<>(attempts.keySet()).get(position);
        }

        void sendRequest() {
            int classIndex = random.nextInt(3);
            String id = "r" + requestCount++;
            String key = "k" + random.nextInt(300);
            String group = settings.sharedGroups() ? "g" + (int) Math.sqrt(random.nextInt(400)) : null;
            ConnectRequested request = new ConnectRequested(
                    id,
                    classIndex,
                    random.nextInt(3) - 1,
                    key,
                    group,
                    nowMicros + settings.classes().get(classIndex).deadlineMicros(),
                    reportsLoads && random.nextBoolean() ? 30_000 : 0,
                    false,
                    random.nextInt(4) == 0);
            if (random.nextInt(60) == 0) {
                StartAttempt attempt = new StartAttempt(id, "s" + random.nextInt(SERVER_COUNT), 0);
                attemptCounts.put(id, 1);
                established.put(id, attempt);
                send(new ConnectionAdopted(request, attempt.serverId()));
            } else {
                send(request);
            }
        }

        void updateEndpointList() {
            int index = random.nextInt(SERVER_COUNT);
            if (states[index] == EndpointState.READY && random.nextInt(3) > 0) {
                states[index] = random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
            } else if (states[index] != EndpointState.READY) {
                states[index] = EndpointState.READY;
                startTimes[index] = nowMicros;
            }
            if (random.nextInt(12) == 0) {
                send(new EndpointListUpdate(EndpointListKind.FAILED, List.of()));
            } else {
                send(new EndpointListUpdate(EndpointListKind.DELTA, List.of(entry(index))));
            }
        }

        void step() {
            nowMicros += 1 + random.nextInt(25_000);
            while (!timers.isEmpty() && timers.firstKey() <= nowMicros) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    send(new TimerExpired(token));
                }
            }
            int kind = random.nextInt(100);
            if (kind < 30) {
                sendRequest();
            } else if (kind < 58 && !attemptsInFlight.isEmpty()) {
                String id = anyOf(attemptsInFlight);
                StartAttempt attempt = attemptsInFlight.remove(id);
                established.put(id, attempt);
                send(new ConnectionEstablished(
                        id, attemptCounts.get(id) - 1, attempt.serverId(), 500 + random.nextInt(60_000)));
            } else if (kind < 68 && !attemptsInFlight.isEmpty()) {
                AttemptOutcome[] outcomes = {
                    AttemptOutcome.ERROR,
                    AttemptOutcome.REJECTED,
                    AttemptOutcome.TIMEOUT,
                    AttemptOutcome.CONNECT_FAILED,
                    AttemptOutcome.RESET
                };
                endAttempt(anyOf(attemptsInFlight), outcomes[random.nextInt(outcomes.length)], false);
            } else if (kind < 80 && established.size() > 120) {
                endAttempt(anyOf(established), random.nextInt(8) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK, true);
            } else if (kind < 90 && reportsLoads && !established.isEmpty()) {
                String id = anyOf(established);
                send(new LoadReported(
                        id, attemptCounts.get(id) - 1, established.get(id).serverId(), random.nextDouble() * 120_000));
            } else if (kind < 95 && reportsDelays && !established.isEmpty()) {
                String id = anyOf(established);
                send(new DelayReported(
                        id, attemptCounts.get(id) - 1, established.get(id).serverId(), random.nextDouble() * 180_000));
            } else if (kind == 98) {
                updateEndpointList();
            } else if (kind == 99) {
                send(new TenantsChanged(List.of(new Tenant(10 + random.nextInt(30), 0.4), new Tenant(50, 0.6))));
            }
        }

        String play() {
            List<EndpointEntry> entries = new ArrayList<>();
            for (int i = 0; i < SERVER_COUNT; i++) {
                entries.add(entry(i));
            }
            send(new EndpointListUpdate(EndpointListKind.CACHED, entries));
            for (int i = 0; i < EVENT_COUNT; i++) {
                step();
            }
            return actionCount + " " + HexFormat.of().formatHex(digest.digest(), 0, 8);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "plain, 1, 5352 34ee6e095fe37e2f",
        "loads+groups, 2, 4736 fbfd92ef6c82d28d",
        "loads+groups+tenants, 3, 4764 8727ec657c56e9a2",
        "delays, 4, 5831 dcd15ec97428c70f",
        "delays+groups+tenants+loads, 5, 7391 38b82cc2637ea78c"
    })
    void sameEventsGiveTheSameActions(String kind, long seed, String expectedDigest) throws NoSuchAlgorithmException {
        assertThat(new Stream(kind, seed).play()).as(kind).isEqualTo(expectedDigest);
    }
}
