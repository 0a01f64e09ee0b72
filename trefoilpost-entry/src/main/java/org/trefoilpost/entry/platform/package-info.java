/**
 * The platform: its key-value service and its list of instances.
 */
package org.trefoilpost.entry.platform;
