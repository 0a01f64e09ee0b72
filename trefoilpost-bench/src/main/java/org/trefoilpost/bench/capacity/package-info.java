/**
 * Benchmarks of plans: what each strategy costs on the organisations' fleets and on a large one.
 */
package org.trefoilpost.bench.capacity;
