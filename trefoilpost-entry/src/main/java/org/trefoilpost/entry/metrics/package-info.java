/**
 * Counters, timers and gauges with stable names, exported to Prometheus.
 */
package org.trefoilpost.entry.metrics;
