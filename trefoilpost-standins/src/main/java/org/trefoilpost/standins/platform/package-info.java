/**
 * The stand-in of the platform: the key-value service and the list of instances.
 */
package org.trefoilpost.standins.platform;
