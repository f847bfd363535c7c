/** Reads, checks and compares configuration documents; without input or output. */
package org.agatefield.configuration;
