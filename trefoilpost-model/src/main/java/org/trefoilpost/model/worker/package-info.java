/**
 * Workers as the platform reports them: location, resources and state.
 */
package org.trefoilpost.model.worker;
