package sandstack;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a platform that owns the clients' listening socket and starts relays that inherit it as descriptor 0. It is
 * a separate process, because Java passes no descriptors to child processes other than the standard streams: the
 * process duplicates the socket onto its own standard input, which its children inherit.
 */
public final class SocketHolder implements AutoCloseable {
    private final Process process;
    private final Socket control;
    private final BufferedReader controlInput;
    private final PrintStream controlOutput;
    private final int port;
    private final List<ProcessHandle> relays = new ArrayList<>();

    /** Starts the process. The folder is the deploy folder of the relays, and their logs are written to it. */
    SocketHolder(Path folder) throws Exception {
        try (java.net.ServerSocket listening = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listening.setSoTimeout(20_000);
            process = new ProcessBuilder(
                            java(),
                            "--add-opens",
                            "java.base/sun.nio.ch=ALL-UNNAMED",
                            "-cp",
                            System.getProperty("java.class.path"),
                            SocketHolder.class.getName(),
                            Integer.toString(listening.getLocalPort()),
                            folder.toString())
                    .inheritIO()
                    .start();
            control = listening.accept();
        }
        controlInput = new BufferedReader(new InputStreamReader(control.getInputStream(), StandardCharsets.UTF_8));
        controlOutput = new PrintStream(control.getOutputStream(), true);
        port = Integer.parseInt(controlInput.readLine());
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin/java").toString();
    }

    /** The port of the listening socket. */
    int port() {
        return port;
    }

    /** Starts a relay with these environment variables; it logs to {@code NAME.log}. */
    ProcessHandle relay(String name, Map<String, String> env) throws IOException {
        controlOutput.println(name + " "
                + String.join(" ", env.entrySet().stream().map(Object::toString).toList()));
        ProcessHandle relay =
                ProcessHandle.of(Long.parseLong(controlInput.readLine())).orElseThrow();
        relays.add(relay);
        return relay;
    }

    @Override
    public void close() throws IOException {
        relays.forEach(ProcessHandle::destroyForcibly);
        control.close();
        try {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Main method of the process. Each line of the control connection, {@code NAME VARIABLE=VALUE...}, starts a relay;
     * the reply is its process id.
     *
     * @param args the port of the control connection, and the folder
     */
    public static void main(String[] args) throws Exception {
        ServerSocketChannel listening =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        java.lang.reflect.Field fd =
                Class.forName("sun.nio.ch.ServerSocketChannelImpl").getDeclaredField("fdVal");
        Method dup2 = Class.forName("sun.nio.ch.InheritedChannel").getDeclaredMethod("dup2", int.class, int.class);
        fd.setAccessible(true);
        dup2.setAccessible(true);
        dup2.invoke(null, fd.getInt(listening), 0);
        try (Socket control = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]))) {
            BufferedReader controlInput =
                    new BufferedReader(new InputStreamReader(control.getInputStream(), StandardCharsets.UTF_8));
            PrintStream controlOutput = new PrintStream(control.getOutputStream(), true);
            controlOutput.println(((InetSocketAddress) listening.getLocalAddress()).getPort());
            for (String line = controlInput.readLine(); line != null; line = controlInput.readLine()) {
                String[] words = line.split(" ", 0);
                ProcessBuilder relay = new ProcessBuilder(
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-Dsandstack.deploy=" + args[1],
                                "sandstack.Main",
                                "serve")
                        .redirectErrorStream(true)
                        .redirectInput(ProcessBuilder.Redirect.INHERIT)
                        .redirectOutput(Files.createFile(Path.of(args[1], words[0] + ".log"))
                                .toFile());
                for (int i = 1; i < words.length; i++) {
                    relay.environment().put(words[i].split("=", 0)[0], words[i].split("=", 0)[1]);
                }
                controlOutput.println(relay.start().pid());
            }
        }
    }
}
