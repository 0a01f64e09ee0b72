/**
 * The job service of an entry: ownership of pools, callers' jobs, upkeep of machines, and the ports to the platform.
 */
package org.trefoilpost.entry.job;
