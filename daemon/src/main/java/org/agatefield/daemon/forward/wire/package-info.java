/** What a platform's dialect has to say, so that nothing else knows how it spells its messages. */
package org.agatefield.daemon.forward.wire;
