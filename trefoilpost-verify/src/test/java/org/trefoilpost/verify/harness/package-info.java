/**
 * Starts entries as processes beside the stand-ins, calls them, and reads what really ran.
 */
package org.trefoilpost.verify.harness;
