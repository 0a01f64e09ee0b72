/**
 * Benchmarks and slopes.
 */
package org.trefoilpost.bench;
