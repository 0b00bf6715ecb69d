package sandstack.service;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures logging to standard error: one line per event, followed by the stack trace if there is one. */
final class LogSetup {
    private LogSetup() {}

    /**
     * Keeps the log handlers during the shutdown. The standard manager removes them in a shutdown hook of its own,
     * while the relay still drains and logs.
     */
    public static final class Manager extends LogManager {
        @Override
        public void reset() {
            // keeps the handlers until the process ends
        }
    }

    /** Installs the format and the levels; must be called before the first logger is used. */
    static void start() {
        System.setProperty("java.util.logging.manager", Manager.class.getName());
        for (Handler standardHandler : Logger.getLogger("").getHandlers()) {
            Logger.getLogger("").removeHandler(standardHandler);
        }
        Handler handler = new ConsoleHandler();
        handler.setLevel(Level.ALL);
        handler.setFormatter(new Formatter() {
            @Override
            public String format(LogRecord entry) {
                return Instant.ofEpochMilli(entry.getMillis()) + " " + entry.getLevel() + " " + entry.getLoggerName()
                        + ": " + entry.getMessage() + stackTrace(entry.getThrown()) + System.lineSeparator();
            }
        });
        Logger.getLogger("").addHandler(handler);
        Logger.getLogger("").setLevel(Level.WARNING);
        Logger.getLogger("sandstack").setLevel(Level.parse(System.getProperty("sandstack.log", "INFO")));
    }

    private static String stackTrace(Throwable thrown) {
        if (thrown == null) {
            return "";
        }
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return System.lineSeparator() + text;
    }
}
