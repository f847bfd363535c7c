/** Reads, validates and compares configuration documents, without file or network access. */
package org.agatefield.configuration;
