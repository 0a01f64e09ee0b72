/**
 * The job service of an entry: pools and who owns them, callers' jobs, maintenance, and the ports to the platform.
 */
package org.trefoilpost.entry.job;
