/**
 * The watch on discovery over HTTP: one watch at a time, its stream split into objects, and its updates handed to the
 * relay. Runs on the event loop's thread; uses {@code net}, {@code config} and {@code core}.
 */
package sandstack.discovery;
