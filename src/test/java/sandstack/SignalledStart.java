package sandstack;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.Charset;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Runs a relay that gets SIGTERM when it logs a given line: the logging thread blocks until the shutdown has begun, so
 * that the signal always arrives between that line and the next one. {@link EarlySignalTest} starts it as a process.
 */
final class SignalledStart {
    /** Minimum duration of the shutdown; simulates other components that take time to stop. */
    private static final long SHUTDOWN_MILLIS = 2_500;

    /** Time for the other shutdown hooks to finish, except for work that needs the blocked thread. */
    private static final long PAUSE_AFTER_SIGNAL_MILLIS = 500;

    private SignalledStart() {}

    /**
     * Starts a relay that blocks at a line of its log.
     *
     * @param args text in the line; then {@code input} if the signal waits for a byte on standard input
     */
    public static void main(String[] args) {
        boolean awaitsInput = args.length > 1 && args[1].equals("input");
        System.setErr(new PrintStream(new BlockingOutputStream(System.err, args[0], awaitsInput), true));
        Main.main(new String[] {"serve"});
    }

    /** Writes to another stream, and blocks after the first write that contains a text. */
    private static final class BlockingOutputStream extends OutputStream {
        private final PrintStream delegate;
        private final String text;
        private final boolean awaitsInput;
        private boolean signalled;

        BlockingOutputStream(PrintStream delegate, String text, boolean awaitsInput) {
            this.delegate = delegate;
            this.text = text;
            this.awaitsInput = awaitsInput;
        }

        @Override
        public void write(int one) {
            delegate.write(one);
        }

        @Override
        public void write(byte[] bytes, int from, int count) {
            delegate.write(bytes, from, count);
            delegate.flush();
            if (!signalled && new String(bytes, from, count, Charset.defaultCharset()).contains(text)) {
                signalled = true;
                signalAndAwaitShutdown();
            }
        }

        private void signalAndAwaitShutdown() {
            try {
                // other threads that log block meanwhile, so nothing awaited here may depend on them
                if (awaitsInput) {
                    System.in.read();
                }
                Runtime.getRuntime().addShutdownHook(new Thread(() -> pause(SHUTDOWN_MILLIS)));
                Signal.raise(new Signal("TERM"));
                while (!isShuttingDown()) {
                    pause(1);
                }
                if (!awaitsInput) {
                    pause(PAUSE_AFTER_SIGNAL_MILLIS);
                }
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private static boolean isShuttingDown() {
            try {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> {}));
                return false;
            } catch (IllegalStateException e) {
                return true;
            }
        }

        private static void pause(long millis) {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
