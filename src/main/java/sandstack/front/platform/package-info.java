/**
 * The platform's line protocol: clients that ask with one line, the connections to feed servers, and the passing of
 * bytes between the two. Lives on the loop's thread; uses {@code net} and {@code core} and decides nothing.
 */
package sandstack.front.platform;
