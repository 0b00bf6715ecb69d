/**
 * Scalability measurements: series of the same quantity at several sizes, and models fitted to them for extrapolation
 * to the planned size.
 */
package sandstack.measure.scale;
