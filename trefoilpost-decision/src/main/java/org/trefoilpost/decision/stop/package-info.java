/**
 * Decides how an entry that stops divides the time that it is given.
 */
package org.trefoilpost.decision.stop;
