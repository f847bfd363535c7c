/** TOML settings of a daemon, read and checked whole. */
package org.agatefield.settings;
