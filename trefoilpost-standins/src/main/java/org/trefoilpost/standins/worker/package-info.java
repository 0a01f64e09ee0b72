/**
 * The stand-in of the workers.
 */
package org.trefoilpost.standins.worker;
