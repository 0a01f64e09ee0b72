/**
 * The threads of the entry's services, each with its event queues and timers, and the clock that they share.
 */
package org.trefoilpost.entry.runtime;
