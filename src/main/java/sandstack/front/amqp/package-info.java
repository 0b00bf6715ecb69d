/**
 * The front (network side) of AMQP 1.0, the second protocol for clients and feed servers; uses the engine of the Proton
 * library. Maps link properties and error conditions to the types of {@code core} and makes no balancing decision. Runs
 * on the event loop's thread.
 */
package sandstack.front.amqp;
