/**
 * A load tool for callers' requests, and measurements of real entry processes: overhead, idle cost, store calls.
 */
package org.trefoilpost.bench.load;
