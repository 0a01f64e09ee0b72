/**
 * What the platform tells of a worker: where it is, what it has, and whether it is leaving.
 */
package org.trefoilpost.model.worker;
