/**
 * The relay that puts faults between two processes.
 */
package org.trefoilpost.standins.relay;
