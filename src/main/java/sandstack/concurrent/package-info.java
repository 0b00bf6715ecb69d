/** Utilities for {@link java.util.concurrent}. */
package sandstack.concurrent;
