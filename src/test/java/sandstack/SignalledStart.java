package sandstack;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.Charset;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * The program, told to stop as it logs a certain line: whichever thread logs it stands until the shutdown has begun, so
 * the signal lies between that line and the next one every time. A process of its own, for {@link EarlySignalTest}.
 */
final class SignalledStart {
    /** The shutdown takes so long at least, as with other parts that have something to take down. */
    private static final long SHUTDOWN_LASTS_MILLIS = 2_500;

    /** What else the signal sets off has been done by then, unless it needs the blocked thread. */
    private static final long AFTER_THE_SIGNAL_MILLIS = 500;

    private SignalledStart() {}

    /**
     * Starts a relay and stands at a line of its log.
     *
     * @param args the line's text, and {@code input} where the signal is to wait for a byte on standard input
     */
    public static void main(String[] args) {
        boolean waitsForInput = args.length > 1 && args[1].equals("input");
        System.setErr(new PrintStream(new Watching(System.err, args[0], waitsForInput), true));
        Main.main(new String[] {"serve"});
    }

    /** Passes everything on, and blocks after the first piece with this text. */
    private static final class Watching extends OutputStream {
        private final PrintStream passedTo;
        private final String text;
        private final boolean waitsForInput;
        private boolean signalled;

        Watching(PrintStream passedTo, String text, boolean waitsForInput) {
            this.passedTo = passedTo;
            this.text = text;
            this.waitsForInput = waitsForInput;
        }

        @Override
        public void write(int one) {
            passedTo.write(one);
        }

        @Override
        public void write(byte[] bytes, int from, int count) {
            passedTo.write(bytes, from, count);
            passedTo.flush();
            if (!signalled && new String(bytes, from, count, Charset.defaultCharset()).contains(text)) {
                signalled = true;
                stopHere();
            }
        }

        private void stopHere() {
            try {
                // no other thread can log meanwhile: what is awaited here must not need the program's other threads
                if (waitsForInput) {
                    System.in.read();
                }
                Runtime.getRuntime().addShutdownHook(new Thread(() -> pause(SHUTDOWN_LASTS_MILLIS)));
                Signal.raise(new Signal("TERM"));
                while (!shuttingDown()) {
                    pause(1);
                }
                if (!waitsForInput) {
                    pause(AFTER_THE_SIGNAL_MILLIS);
                }
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private static boolean shuttingDown() {
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
