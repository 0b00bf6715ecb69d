/**
 * The operators' console of a relay that runs: commands that show or change it, on a terminal or as plain lines. Uses
 * {@code core}; commands run on the relay's thread.
 */
package sandstack.console;
