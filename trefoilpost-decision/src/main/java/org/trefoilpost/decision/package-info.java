/**
 * Every decision as pure code: events in, actions out, the present time an argument.
 */
package org.trefoilpost.decision;
