package org.agatefield.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Requirement REQ-WHOLE-ANSWER: compares rules that prevent readers from accepting late or crossed
 * answers.
 *
 * <p>Two readers share a channel that delays answers and delivers them in random order, to either
 * reader. Each reader abandons some attempts and starts the next. An answer is wrong if a reader
 * accepts it although it belongs to another request.
 */
class LateAnswerRuleTest {
  private static final int ROUNDS = 2_000;

  /** An answer on the channel. */
  private record Answer(int reader, int request, int attemptNumber) {}

  /** Decides whether a reader that waits for an attempt accepts an answer. */
  private interface Rule {
    boolean accepts(Answer expected, Answer answer);
  }

  private static final Rule WITHOUT_NUMBERS = (expected, answer) -> true;
  private static final Rule NOT_EARLIER =
      (expected, answer) -> answer.attemptNumber() >= expected.attemptNumber();
  private static final Rule SAME =
      (expected, answer) -> answer.attemptNumber() == expected.attemptNumber();

  @Example
  void onlySameNumberRulePreventsAllWrongAnswers() {
    List<Integer> wrong =
        List.of(
            wrongAnswers(WITHOUT_NUMBERS, 42, true),
            wrongAnswers(NOT_EARLIER, 42, true),
            wrongAnswers(SAME, 42, true),
            wrongAnswers(WITHOUT_NUMBERS, 42, false),
            wrongAnswers(NOT_EARLIER, 42, false),
            wrongAnswers(SAME, 42, false));
    System.out.println("wrong answers: crossed and late, then late only: " + wrong);
    assertTrue(wrong.get(0) > 0 && wrong.get(1) > 0 && wrong.get(3) > 0, wrong::toString);
    assertEquals(List.of(0, 0, 0), List.of(wrong.get(2), wrong.get(4), wrong.get(5)));
  }

  @Property(tries = 100, seed = "42")
  void sameNumberRuleAcceptsNoWrongAnswer(@ForAll long seed) {
    assertEquals(0, wrongAnswers(SAME, seed, true));
  }

  private static int wrongAnswers(Rule rule, long seed, boolean crossed) {
    Random random = new Random(seed);
    List<Answer> channel = new ArrayList<>();
    Answer[] waiting = new Answer[2];
    int nextNumber = 1;
    int nextRequest = 1;
    int wrong = 0;
    for (int round = 0; round < ROUNDS; round++) {
      int reader = random.nextInt(2);
      if (waiting[reader] == null) {
        waiting[reader] = new Answer(reader, nextRequest++, nextNumber++);
        channel.add(waiting[reader]);
      } else if (random.nextInt(4) == 0) {
        int request = random.nextBoolean() ? waiting[reader].request() : nextRequest++;
        waiting[reader] = new Answer(reader, request, nextNumber++);
        channel.add(waiting[reader]);
      } else if (!channel.isEmpty()) {
        Answer answer = channel.remove(random.nextInt(channel.size()));
        int target = crossed ? reader : answer.reader();
        if (waiting[target] != null && rule.accepts(waiting[target], answer)) {
          wrong += answer.request() == waiting[target].request() ? 0 : 1;
          waiting[target] = null;
        }
      }
    }
    return wrong;
  }
}
