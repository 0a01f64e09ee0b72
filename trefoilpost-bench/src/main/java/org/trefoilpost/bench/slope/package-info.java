/**
 * Measurements of bytes, processor time and memory against the size of a fleet, with a fitted line for each.
 */
package org.trefoilpost.bench.slope;
