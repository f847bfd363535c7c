/**
 * A stand-in for a model engine that accounts for its memory and generates deterministic tokens.
 */
package org.agatefield.standin.engine;
