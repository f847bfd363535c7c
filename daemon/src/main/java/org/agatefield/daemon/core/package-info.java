/** Defines the interfaces between a daemon's components, each of which has its own package. */
package org.agatefield.daemon.core;
