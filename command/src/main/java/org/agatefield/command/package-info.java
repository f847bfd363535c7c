/** The operators' command, {@code agatefieldctl}. */
package org.agatefield.command;
