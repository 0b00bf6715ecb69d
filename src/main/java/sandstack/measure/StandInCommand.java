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

/** {@code standin}: runs fake feed servers and a fake discovery on loopback until the process is interrupted. */
@Command(
        name = "standin",
        description = "Runs stand-in feed servers and a stand-in discovery on loopback, to try out a relay.",
        mixinStandardHelpOptions = true)
public final class StandInCommand implements Callable<Integer> {
    @Option(
            names = "--servers",
            paramLabel = "N",
            defaultValue = "2",
            description = "Number of feed servers (default: 2).")
    private int servers;

    @Option(
            names = "--cap",
            paramLabel = "N",
            defaultValue = "0",
            description = "Maximum number of connections to each feed server; 0 for no limit (default: 0).")
    private int maxConnections;

    @Option(
            names = "--first-port",
            paramLabel = "PORT",
            defaultValue = "3101",
            description = "Port of the first feed server; the others use the following ports (default: 3101).")
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
                        ServerProfile.UNLIMITED.withConnectionLimit(maxConnections, false),
                        firstPort + i);
                loop.run(() -> discovery.publish(server, "box", 1, "ready"));
            }
            System.out.println(
                    servers + " feed servers from port " + firstPort + ", discovery on port " + discoveryPort);
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
