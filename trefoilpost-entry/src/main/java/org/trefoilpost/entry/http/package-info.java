/**
 * HTTP plumbing shared by the packages that talk HTTP.
 */
package org.trefoilpost.entry.http;
