package sandstack.cli;

/** The exit codes of the program's commands. */
public final class ExitCode {
    /** The command failed while it ran. */
    public static final int FAILURE = 1;
    /** The command line or the settings are wrong. */
    public static final int USAGE = 2;

    private ExitCode() {}
}
