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
 * Stands in for a platform that holds the clients' listening socket: a process of its own, whose children inherit the
 * socket as descriptor 0. Java cannot hand descriptors to children otherwise, so the socket becomes its own input.
 */
public final class SocketHolder implements AutoCloseable {
    private final Process process;
    private final Socket control;
    private final BufferedReader from;
    private final PrintStream to;
    private final int port;
    private final List<ProcessHandle> started = new ArrayList<>();

    /** Starts a holder that keeps the logs of its children in this folder, which is their deploy folder too. */
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
        from = new BufferedReader(new InputStreamReader(control.getInputStream(), StandardCharsets.UTF_8));
        to = new PrintStream(control.getOutputStream(), true);
        port = Integer.parseInt(from.readLine());
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin/java").toString();
    }

    /** Where clients connect. */
    int port() {
        return port;
    }

    /** Starts a relay with descriptor 0 and these variables; it logs to a file of this name. */
    ProcessHandle relay(String name, Map<String, String> env) throws IOException {
        to.println(name + " "
                + String.join(" ", env.entrySet().stream().map(Object::toString).toList()));
        ProcessHandle relay = ProcessHandle.of(Long.parseLong(from.readLine())).orElseThrow();
        started.add(relay);
        return relay;
    }

    @Override
    public void close() throws IOException {
        started.forEach(ProcessHandle::destroyForcibly);
        control.close();
        try {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The holder itself: {@code CONTROL_PORT FOLDER}. */
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
            BufferedReader from =
                    new BufferedReader(new InputStreamReader(control.getInputStream(), StandardCharsets.UTF_8));
            PrintStream to = new PrintStream(control.getOutputStream(), true);
            to.println(((InetSocketAddress) listening.getLocalAddress()).getPort());
            for (String line = from.readLine(); line != null; line = from.readLine()) {
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
                to.println(relay.start().pid());
            }
        }
    }
}
