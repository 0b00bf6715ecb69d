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
import sandstack.capacity.Limits;
import sandstack.capacity.Stated;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Adopted;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.DelayReported;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.ServerEntry;
import sandstack.decisions.Decisions.ServerList;
import sandstack.settings.SettingsBuilder;

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

    private Brain brain;
    private long now = 1_000_000_000;
    private long asked;

    /** Fills the module with servers and standing connections. */
    @Setup
    public void fill() {
        RequestClass cls = new RequestClass(500_000, 3_000_000, 5, Repeat.SAFE, Decisions.Scope.ALL, 0, 150_000);
        brain = new Brain(
                SettingsBuilder.of(List.of(cls, cls))
                        .instances(3)
                        .zones(3)
                        .sharedGroups(true)
                        .listOnRequest(true)
                        .askWithin(10_000_000)
                        .connectTimeout(100_000)
                        .retryAfter(true)
                        .maxRetryAfter(1_500_000)
                        .crossZonePrice(0.1)
                        .movePrice(0.012)
                        .drainGrace(300_000)
                        .coldFrom(0.13)
                        .warmAfter(23_000_000)
                        .tipMultiple(3)
                        .tipAfter(1_500_000)
                        .build(),
                Stated.Book.EMPTY,
                Limits.NONE,
                7,
                now);
        List<ServerEntry> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(new ServerEntry("s" + i, i % 3, i / 10, i % 2, 0, Phase.READY, 1));
        }
        brain.on(new ServerList(ListKind.FULL, list), now);
        for (int i = 0; i < STANDING; i++) {
            brain.on(new Adopted(ask("a" + i), "s" + i % SERVERS), now);
        }
        // a delay that was told once: use by guesses, which closed servers in builds before, counts for nothing
        brain.on(new DelayReported("a0", 0, "s0", 1_000), now);
    }

    private ConnectRequest ask(String id) {
        asked++;
        return new ConnectRequest(
                id, (int) (asked % 2), 0, "k" + asked % 5_000, "g" + asked % 2_000, now + 3_000_000, 0, false, false);
    }

    /** What one connection costs the module. */
    @Benchmark
    public Object oneConnection() {
        now += 100;
        String id = "r" + asked;
        Attempt a = null;
        for (Action action : brain.on(ask(id), now)) {
            a = action instanceof Attempt attempt ? attempt : a;
        }
        if (a == null) {
            throw new IllegalStateException("not placed");
        }
        brain.on(new Established(id, 0, a.server(), 900), now);
        return brain.on(new AttemptEnded(id, 0, a.server(), Outcome.OK, true, 900, null), now);
    }
}
