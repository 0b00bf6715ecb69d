/**
 * The command line: subcommands, options, help and exit codes. Not loaded when the platform starts the relay, because
 * the command line library takes start-up time and memory. Uses all other packages; used only by the entry point.
 */
package sandstack.cli;
