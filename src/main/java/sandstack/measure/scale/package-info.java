/**
 * Measures how the cost of a fleet grows with its size: the same quantity at several sizes, a fit through them, and what
 * that comes to at the planned size.
 */
package sandstack.measure.scale;
