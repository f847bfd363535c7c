/**
 * The daemon that runs on every entry instance. This package only creates and connects its
 * components.
 */
package org.agatefield.daemon;
