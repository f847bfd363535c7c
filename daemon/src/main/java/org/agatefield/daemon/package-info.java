/** The daemon: the program of every entry instance. This package only wires its parts together. */
package org.agatefield.daemon;
