/**
 * Selection of a worker for each attempt, ejection of failing workers, and the workers that are leaving.
 */
package org.trefoilpost.decision.routing;
