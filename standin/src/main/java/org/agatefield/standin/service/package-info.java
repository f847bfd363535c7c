/** A stand-in for a plain booking service that counts its executions. */
package org.agatefield.standin.service;
