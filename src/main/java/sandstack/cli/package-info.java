/**
 * The command line: subcommands, options, help and exit codes. Not loaded where the platform starts the relay, as its
 * library costs start-up time and memory. Uses all other packages; only the entry point uses it.
 */
package sandstack.cli;
