/**
 * Counters and gauges, each with a stable name, for operators.
 */
package org.trefoilpost.entry.metrics;
