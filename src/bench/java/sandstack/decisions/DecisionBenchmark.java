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

/** Measures one connection from its request to its end, with 1,000 servers and 100,000 established connections. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(
        value = 1,
        jvmArgs = {"-Xmx2g", "-XX:+UseSerialGC"})
@Warmup(iterations = 2, time = 3)
@Measurement(iterations = 3, time = 3)
public class DecisionBenchmark {
    private static final int SERVER_COUNT = 1_000;
    private static final int ESTABLISHED_COUNT = 100_000;

    private LoadBalancer loadBalancer;
    private long nowMicros = 1_000_000_000;
    private long requestCount;

    /** Sets up the load balancer with servers and established connections. */
    @Setup
    public void fill() {
        RequestClass requestClass =
                new RequestClass(500_000, 3_000_000, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        loadBalancer = new LoadBalancer(
                BalancerSettingsBuilder.of(List.of(requestClass, requestClass))
                        .relayCount(3)
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
                nowMicros);
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            endpoints.add(new EndpointEntry("s" + i, i % 3, i / 10, i % 2, 0, EndpointState.READY, 1));
        }
        loadBalancer.handle(new EndpointListUpdate(EndpointListKind.FULL, endpoints), nowMicros);
        for (int i = 0; i < ESTABLISHED_COUNT; i++) {
            loadBalancer.handle(new ConnectionAdopted(connectRequest("a" + i), "s" + i % SERVER_COUNT), nowMicros);
        }
        // once a message delay is reported, utilization counts as 0 and closes no server
        loadBalancer.handle(new DelayReported("a0", 0, "s0", 1_000), nowMicros);
    }

    private ConnectRequested connectRequest(String id) {
        requestCount++;
        return new ConnectRequested(
                id,
                (int) (requestCount % 2),
                0,
                "k" + requestCount % 5_000,
                "g" + requestCount % 2_000,
                nowMicros + 3_000_000,
                0,
                false,
                false);
    }

    /** Requests, establishes and ends one connection. */
    @Benchmark
    public Object oneConnection() {
        nowMicros += 100;
        String id = "r" + requestCount;
        StartAttempt attempt = null;
        for (BalancerAction action : loadBalancer.handle(connectRequest(id), nowMicros)) {
            attempt = action instanceof StartAttempt started ? started : attempt;
        }
        if (attempt == null) {
            throw new IllegalStateException("no attempt was started");
        }
        loadBalancer.handle(new ConnectionEstablished(id, 0, attempt.serverId(), 900), nowMicros);
        return loadBalancer.handle(
                new AttemptEnded(id, 0, attempt.serverId(), AttemptOutcome.OK, true, 900, null), nowMicros);
    }
}
