/**
 * Scenarios of the users' promises, run over real processes.
 */
package org.trefoilpost.verify;
