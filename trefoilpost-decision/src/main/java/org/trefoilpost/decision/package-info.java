/**
 * Decision logic without I/O: state machines that take events and the current time and return actions to perform.
 */
package org.trefoilpost.decision;
