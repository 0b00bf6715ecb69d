package sandstack.cli;

/** The exit codes of the program's commands for failures; success is 0. */
public final class ExitCode {
    /** The command failed while running. */
    public static final int FAILURE = 1;
    /** The command line or the configuration is invalid. */
    public static final int USAGE = 2;

    private ExitCode() {}
}
