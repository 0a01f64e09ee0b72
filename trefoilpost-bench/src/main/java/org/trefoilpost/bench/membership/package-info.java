/**
 * Manners of surveillance among entries compared on a small network in virtual time.
 */
package org.trefoilpost.bench.membership;
