/** A stand-in for a plain booking service that counts what it executes. */
package org.agatefield.standin.service;
