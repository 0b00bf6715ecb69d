/**
 * AMQP 1.0 as a second protocol for clients and feed servers, by the engine of the Proton library. Lives on the loop's
 * thread; uses {@code net} and {@code core} and decides nothing.
 */
package sandstack.front.amqp;
