/**
 * The console of a running relay: commands that show or change its state, entered on a terminal or as plain lines. Uses
 * {@code core}. Commands without argument run on the relay's thread.
 */
package sandstack.console;
