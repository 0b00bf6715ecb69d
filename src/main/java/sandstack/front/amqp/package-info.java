/**
 * AMQP 1.0 as a second protocol for clients and feed servers, by the engine of the Proton library. Maps link properties
 * and error conditions to the terms of {@code core}, and takes no balancing decision. Runs on the loop's thread.
 */
package sandstack.front.amqp;
