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
 * {@code open}: opens one client connection through a relay, sends each argument as a line and prints the responses.
 * Uses one blocking socket. Exits 0 if every line received a response, 1 if before that the connection was rejected,
 * failed, timed out, was closed or was asked to migrate.
 */
@Command(
        name = "open",
        description = "Opens one connection through a relay, sends lines and prints the responses.",
        mixinStandardHelpOptions = true)
public final class OpenCommand implements Callable<Integer> {
    /** The maximum line length of the protocol. */
    private static final int MAX_LINE_BYTES = 4096;
    /** Maximum number of load reports that are skipped before a response. */
    private static final int MAX_SKIPPED_LOAD_REPORTS = 100;

    private static final int RESPONSE_MARGIN_MILLIS = 500;

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "Address on which the relay listens.")
    private String relay;

    @Parameters(index = "1..*", paramLabel = "LINE", description = "Lines to send over the established connection.")
    private List<String> lines = List.of();

    @Option(
            names = "--class",
            paramLabel = "NAME",
            defaultValue = "order-status",
            description = "Request class (default: ${DEFAULT-VALUE}).")
    private String requestClass;

    @Option(
            names = "--group",
            paramLabel = "NAME",
            defaultValue = "shop-1",
            description = "Group of the request (default: ${DEFAULT-VALUE}).")
    private String group;

    @Option(
            names = "--key",
            paramLabel = "KEY",
            defaultValue = "by-hand",
            description = "Client key (default: ${DEFAULT-VALUE}).")
    private String key;

    @Option(
            names = "--within",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "Time limit for each response (default: ${DEFAULT-VALUE}).")
    private int timeoutMillis;

    @Override
    public Integer call() throws InvalidConfigurationException, IOException {
        if (timeoutMillis <= 0) {
            throw new ParameterException(spec.commandLine(), "--within must be greater than 0: " + timeoutMillis);
        }
        Address address = Address.parse(relay, "the relay's address");
        String openLine = "OPEN " + Long.toHexString(System.nanoTime()) + " " + key + " c=" + requestClass + ",d="
                + timeoutMillis + ",g=" + group;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), timeoutMillis);
            // the relay responds within the deadline; the margin covers the transmission of the response
            socket.setSoTimeout(timeoutMillis + RESPONSE_MARGIN_MILLIS);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), MAX_LINE_BYTES);
            String response = exchange(socket, in, openLine);
            boolean established = response != null && (response.equals("UP") || response.startsWith("UP "));
            for (String line : lines) {
                established = established && exchange(socket, in, line) != null;
            }
            return established ? 0 : 1;
        } catch (SocketTimeoutException e) {
            spec.commandLine().getErr().println("open: no response from " + relay + " within " + timeoutMillis + " ms");
            return 1;
        }
    }

    /** Sends a line, prints the response and returns it; null if the relay closed the connection or asks to migrate. */
    private String exchange(Socket socket, BufferedReader in, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
        String response = in.readLine();
        for (int loadReports = 0;
                response != null && response.startsWith("LOAD ") && loadReports < MAX_SKIPPED_LOAD_REPORTS;
                loadReports++) {
            response = in.readLine();
        }
        spec.commandLine().getOut().println(response == null ? "(connection closed)" : response);
        spec.commandLine().getOut().flush();
        return "MOVE".equals(response) ? null : response;
    }
}
