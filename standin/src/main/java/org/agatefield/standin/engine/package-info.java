/** A stand-in for a model engine: counts its own memory and generates deterministic tokens. */
package org.agatefield.standin.engine;
