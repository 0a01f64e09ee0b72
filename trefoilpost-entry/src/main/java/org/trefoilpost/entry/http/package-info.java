/**
 * HTTP utilities shared by the packages that send or receive HTTP messages.
 */
package org.trefoilpost.entry.http;
