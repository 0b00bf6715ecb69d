/**
 * Draws and hashes that are the same everywhere for the same seed, and a map of bounded size. Owns no state of the relay
 * and uses the JDK only.
 */
package sandstack.random;
