/**
 * The targets: sending requests to workers, and asking workers to stop and reboot.
 */
package org.trefoilpost.entry.target;
