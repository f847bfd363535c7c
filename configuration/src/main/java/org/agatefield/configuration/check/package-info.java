/**
 * Checks configurations before they are sent: errors, findings and differences, as text and JSON.
 *
 * <p>The only input is a file and the only output the report; nothing is sent.
 */
package org.agatefield.configuration.check;
