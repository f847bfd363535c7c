/**
 * What instances of a fleet tell each other about runners, models, accounts and themselves.
 *
 * <p>A {@link org.agatefield.knowledge.KnowledgeKind} says what one kind of knowledge means and how
 * the views of several instances combine; a {@link org.agatefield.knowledge.KnowledgeTable} holds
 * the views with their ages. Transport and timers are the embedding program's.
 */
package org.agatefield.knowledge;
