/**
 * The console of a running relay: commands that show or change its state, on a terminal or as plain lines. Uses
 * {@code core}; commands run on the relay's thread.
 */
package sandstack.console;
