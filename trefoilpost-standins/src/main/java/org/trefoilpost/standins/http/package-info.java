/**
 * The HTTP plumbing that the stand-ins share.
 */
package org.trefoilpost.standins.http;
