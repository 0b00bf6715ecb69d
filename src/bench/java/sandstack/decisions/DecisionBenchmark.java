package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.settings.BalancerSettingsBuilder;

/** One connection from its request to its end, among 1,000 servers and 100,000 that stand. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(
        value = 1,
        jvmArgs = {"-Xmx2g", "-XX:+UseSerialGC"})
@Warmup(iterations = 2, time = 3)
@Measurement(iterations = 3, time = 3)
public class DecisionBenchmark {
    private static final int SERVERS = 1_000;
    private static final int STANDING = 100_000;

    private LoadBalancer loadBalancer;
    private long now = 1_000_000_000;
    private long asked;

    /** Fills the module with servers and standing connections. */
    @Setup
    public void fill() {
        RequestClass cls =
                new RequestClass(500_000, 3_000_000, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        loadBalancer = new LoadBalancer(
                BalancerSettingsBuilder.of(List.of(cls, cls))
                        .instanceCount(3)
                        .zoneCount(3)
                        .sharedGroups(true)
                        .endpointListPolled(true)
                        .pollIntervalMicros(10_000_000)
                        .connectTimeoutMicros(100_000)
                        .retryAfterHonored(true)
                        .maxRetryAfterMicros(1_500_000)
                        .crossZoneCost(0.1)
                        .migrationCost(0.012)
                        .drainGraceMicros(300_000)
                        .slowStartInitialFraction(0.13)
                        .slowStartDurationMicros(23_000_000)
                        .overloadMultiple(3)
                        .overloadWindowMicros(1_500_000)
                        .build(),
                StatedCapacities.NONE,
                InstallationLimits.NONE,
                7,
                now);
        List<EndpointEntry> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(new EndpointEntry("s" + i, i % 3, i / 10, i % 2, 0, EndpointState.READY, 1));
        }
        loadBalancer.handle(new EndpointListUpdate(EndpointListKind.FULL, list), now);
        for (int i = 0; i < STANDING; i++) {
            loadBalancer.handle(new ConnectionAdopted(ask("a" + i), "s" + i % SERVERS), now);
        }
        // a delay that was told once: use by guesses, which closed servers in builds before, counts for nothing
        loadBalancer.handle(new DelayReported("a0", 0, "s0", 1_000), now);
    }

    private ConnectRequested ask(String id) {
        asked++;
        return new ConnectRequested(
                id, (int) (asked % 2), 0, "k" + asked % 5_000, "g" + asked % 2_000, now + 3_000_000, 0, false, false);
    }

    /** What one connection costs the module. */
    @Benchmark
    public Object oneConnection() {
        now += 100;
        String id = "r" + asked;
        StartAttempt a = null;
        for (BalancerAction action : loadBalancer.handle(ask(id), now)) {
            a = action instanceof StartAttempt attempt ? attempt : a;
        }
        if (a == null) {
            throw new IllegalStateException("not placed");
        }
        loadBalancer.handle(new ConnectionEstablished(id, 0, a.serverId(), 900), now);
        return loadBalancer.handle(new AttemptEnded(id, 0, a.serverId(), AttemptOutcome.OK, true, 900, null), now);
    }
}
