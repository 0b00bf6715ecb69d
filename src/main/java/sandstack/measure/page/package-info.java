/**
 * The capacity plan: planning numbers and cost models in JSON, validated and extrapolated to the planned size, and the
 * tables of {@code docs/CAPACITY.md} that are generated from them. Measures nothing.
 */
package sandstack.measure.page;
