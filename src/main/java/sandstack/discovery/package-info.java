/**
 * The watch on discovery over HTTP: one watch at a time, its stream split into objects, and what it tells handed to
 * the relay. Lives on the loop's thread; uses {@code net}, {@code config} and {@code core}.
 */
package sandstack.discovery;
