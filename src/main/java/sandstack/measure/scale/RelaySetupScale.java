package sandstack.measure.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sandstack.measure.RelayProcess;
import sandstack.measure.scale.Series.Point;

/** Cost of setting up a connection at a relay, by the number of its established connections. */
public final class RelaySetupScale implements ScaleMeasurement {
    private static final String PER = "connections";
    private static final String METHOD =
            "one relay process as run starts it but with a heap of 512 MB, two stand-in feed "
                    + "servers on loopback, clients in a closed loop of 32 that connect, send their line, hear UP and stay; ";
    private static final int[] CONNECTIONS_QUICK = {200, 900, 1_600};
    private static final int[] CONNECTIONS_FULL = {500, 2_500, 5_000, 7_500};
    private static final int WARM_UP_QUICK = 300;
    private static final int WARM_UP_FULL = 2_000;
    private static final int SETUPS_QUICK = 400;
    private static final int SETUPS_FULL = 1_500;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Path jar;

    /** Measures the build of the working directory. */
    public RelaySetupScale() {
        this(RelayProcess.BUILT_JAR);
    }

    /**
     * Measures another build.
     *
     * @param jar build that the relay is started from
     */
    public RelaySetupScale(Path jar) {
        this.jar = jar;
    }

    @Override
    public String name() {
        return "relay-setup";
    }

    /** Starts a process, so returns no series with {@link Effort#SMALL}. */
    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort == Effort.SMALL) {
            return List.of();
        }
        boolean full = effort == Effort.FULL;
        int setups = full ? SETUPS_FULL : SETUPS_QUICK;
        List<Point> processor = new ArrayList<>();
        List<Point> rate = new ArrayList<>();
        try (RelayUnderLoad load = new RelayUnderLoad(jar, RelayUnderLoad.LARGE_MEMORY_OPTIONS)) {
            load.warmUp(full ? WARM_UP_FULL : WARM_UP_QUICK);
            for (int connections : full ? CONNECTIONS_FULL : CONNECTIONS_QUICK) {
                load.establish(connections);
                ProcessUsage before = load.usage();
                long startNanos = System.nanoTime();
                load.establish(connections + setups);
                double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
                double processorMicros = load.usage().processorMicrosSince(before);
                processor.add(new Point(connections, processorMicros / setups));
                rate.add(new Point(connections, setups / seconds));
            }
        }
        return List.of(
                new Series(
                        "relay.setup.processor",
                        Role.RELAY_PLACEMENT,
                        Resource.PROCESSOR,
                        "microseconds a set-up",
                        PER,
                        METHOD + "processor time of the relay's threads over the next " + setups + " set-ups",
                        processor),
                new Series(
                        "relay.setup.rate",
                        Role.RELAY_PLACEMENT,
                        Resource.MESSAGES,
                        "set-ups a second",
                        PER,
                        METHOD + "the next " + setups
                                + " set-ups by wall clock; clients and feed servers share one thread",
                        rate));
    }
}
