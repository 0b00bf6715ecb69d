/**
 * The capacity plan: reads planning numbers and cost models from JSON, validates them, extrapolates the costs to the
 * planned sizes and generates the tables of {@code docs/CAPACITY.md}. Runs no measurements; takes their results from
 * the reports of {@code measure scale}.
 */
package sandstack.measure.page;
