/** Reads and validates the TOML settings of daemons. */
package org.agatefield.settings;
