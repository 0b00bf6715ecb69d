package sandstack.measure;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** {@code standin}: runs stand-in feed servers and a stand-in discovery on loopback until interrupted. */
@Command(
        name = "standin",
        description = "Stand-in feed servers and a discovery on loopback, to try a relay by hand.",
        mixinStandardHelpOptions = true)
public final class StandInCommand implements Callable<Integer> {
    @Option(names = "--servers", paramLabel = "N", defaultValue = "2", description = "How many (default: 2).")
    private int servers;

    @Option(
            names = "--cap",
            paramLabel = "N",
            defaultValue = "0",
            description = "Connections that each holds; 0 for any number (default: 0).")
    private int cap;

    @Option(
            names = "--first-port",
            paramLabel = "PORT",
            defaultValue = "3101",
            description = "Port of the first feed server; the others follow (default: 3101).")
    private int firstPort;

    @Option(
            names = "--discovery-port",
            paramLabel = "PORT",
            defaultValue = "8500",
            description = "Port of discovery (default: 8500).")
    private int discoveryPort;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (TestServerLoop loop = new TestServerLoop()) {
            FakeDiscovery discovery = new FakeDiscovery(loop, discoveryPort);
            for (int i = 0; i < servers; i++) {
                FakeFeedServer server = new FakeFeedServer(
                        loop,
                        "toy-" + (i + 1),
                        "home",
                        ServerProfile.UNLIMITED.withConnectionLimit(cap, false),
                        firstPort + i);
                loop.run(() -> discovery.publish(server, "box", 1, "ready"));
            }
            System.out.println(servers + " feed servers from port " + firstPort + ", discovery at " + discoveryPort);
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
