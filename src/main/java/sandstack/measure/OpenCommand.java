package sandstack.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;

/**
 * {@code open}: opens one connection through a relay as a client does, sends each argument as a line and prints the
 * answers. Blocks on one socket. Exits 0 after all lines were answered, 1 if the connection was rejected, failed or
 * closed.
 */
@Command(
        name = "open",
        description = "Opens one connection through a relay, sends lines and prints the answers.",
        mixinStandardHelpOptions = true)
public final class OpenCommand implements Callable<Integer> {
    /** The longest line of the protocol. */
    private static final int MAX_LINE_BYTES = 4096;
    /** Load reports are skipped while an answer is awaited, up to this many. */
    private static final int MAX_LOAD_REPORTS = 100;

    private static final int ANSWER_MARGIN_MILLIS = 500;

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "Where the relay listens.")
    private String relay;

    @Parameters(index = "1..*", paramLabel = "LINE", description = "Lines to send once the connection stands.")
    private List<String> lines = List.of();

    @Option(
            names = "--class",
            paramLabel = "NAME",
            defaultValue = "order-status",
            description = "Class of the request (default: ${DEFAULT-VALUE}).")
    private String requestClass;

    @Option(
            names = "--group",
            paramLabel = "NAME",
            defaultValue = "shop-1",
            description = "Group that it belongs to (default: ${DEFAULT-VALUE}).")
    private String group;

    @Option(
            names = "--key",
            paramLabel = "KEY",
            defaultValue = "by-hand",
            description = "Key of the client (default: ${DEFAULT-VALUE}).")
    private String key;

    @Option(
            names = "--within",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "How long to wait for each answer (default: ${DEFAULT-VALUE}).")
    private int timeoutMillis;

    @Override
    public Integer call() throws InvalidConfigurationException, IOException {
        if (timeoutMillis <= 0) {
            throw new ParameterException(spec.commandLine(), "--within must be above 0: " + timeoutMillis);
        }
        Address address = Address.parse(relay, "the relay's address");
        String openLine = "OPEN " + Long.toHexString(System.nanoTime()) + " " + key + " c=" + requestClass + ",d="
                + timeoutMillis + ",g=" + group;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), timeoutMillis);
            // the relay answers within the deadline; the margin covers the way back
            socket.setSoTimeout(timeoutMillis + ANSWER_MARGIN_MILLIS);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), MAX_LINE_BYTES);
            String answer = exchange(socket, in, openLine);
            boolean established = answer != null && (answer.equals("UP") || answer.startsWith("UP "));
            for (String line : lines) {
                established = established && exchange(socket, in, line) != null;
            }
            return established ? 0 : 1;
        } catch (SocketTimeoutException e) {
            spec.commandLine().getErr().println("open: no answer from " + relay + " within " + timeoutMillis + " ms");
            return 1;
        }
    }

    /** Sends a line and prints the answer; returns null if the connection was closed or the relay asked to migrate. */
    private String exchange(Socket socket, BufferedReader in, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
        String answer = in.readLine();
        for (int loadReports = 0;
                answer != null && answer.startsWith("LOAD ") && loadReports < MAX_LOAD_REPORTS;
                loadReports++) {
            answer = in.readLine();
        }
        spec.commandLine().getOut().println(answer == null ? "(the connection ended)" : answer);
        spec.commandLine().getOut().flush();
        return "MOVE".equals(answer) ? null : answer;
    }
}
