package sandstack.console;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** The console of a running relay: a line editor on a terminal, plain lines of text otherwise. */
public final class Console {
    private final ConsoleCommands commands;

    /** Creates a console for these commands; {@link #run} starts it. */
    public Console(ConsoleCommands commands) {
        this.commands = commands;
    }

    /** Reads commands and prints their answers until the input ends or the user quits. Blocks the calling thread. */
    @SuppressWarnings("SystemConsoleNull") // Java 17 returns null without a terminal; isTerminal() needs Java 22
    public void run() throws IOException {
        if (System.console() == null) {
            runPlain(System.in, System.out);
        } else {
            runTerminal();
        }
    }

    /** Runs without a terminal: one command per input line, its answer as plain output lines. */
    void runPlain(InputStream input, PrintStream output) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null && !isQuit(line); line = in.readLine()) {
            commands.answer(line).forEach(output::println);
            output.flush();
        }
    }

    private void runTerminal() throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).build()) {
            LineReader reader = LineReaderBuilder.builder()
                    .terminal(terminal)
                    .completer(new StringsCompleter(commands.completions()))
                    .build();
            terminal.writer().println("sandstack console; help lists the commands");
            while (true) {
                String line = reader.readLine("sandstack> ");
                if (isQuit(line)) {
                    return;
                }
                commands.answer(line).forEach(terminal.writer()::println);
                terminal.flush();
            }
        } catch (UserInterruptException | EndOfFileException e) {
            // Ctrl-C or Ctrl-D ends the console as "quit" does
        }
    }

    private static boolean isQuit(String line) {
        return line.trim().equals("quit");
    }
}
