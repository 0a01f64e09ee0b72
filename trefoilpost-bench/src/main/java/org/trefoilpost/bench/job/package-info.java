/**
 * Benchmarks of the placement of jobs.
 */
package org.trefoilpost.bench.job;
