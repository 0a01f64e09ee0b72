/**
 * Clients of the targets: send requests to workers, query their status, and order them to stop, reboot and checkpoint
 * tasks.
 */
package org.trefoilpost.entry.target;
