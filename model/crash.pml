/*
 * A task that crashes each worker that starts it, and leaders that die.
 *
 * What is held against the task is counted in memory and recorded; a successor knows what was
 * recorded. Once anything is held against it, the record also says, before a start, that a run may
 * be there. A successor that finds the mark, and no run, counts a crash that nobody saw.
 *
 * Claim: the task is not started three times more after three workers crashed under it. It is given
 * up after three crashes that were seen, or five with those that nobody saw.
 *
 * EARLY leaders die before anything is recorded: what they had seen is lost. LATE leaders die after
 * that, at any moment. The claim holds with late deaths alone, with two early ones alone, and with
 * one of each; with more early ones nothing is known that could be counted (crash/early-deaths).
 *
 * Mutants: NO_RECORD (nothing is recorded), NO_MARK (a successor counts no crash that nobody saw),
 * NO_GATE (a start does not wait for the record).
 */

#ifndef EARLY
#define EARLY 1
#endif
#ifndef LATE
#define LATE 1
#endif

#define SEEN_ENOUGH 3
#define ALL_ENOUGH 5

byte seen, unseen;           /* the leader's */
byte seenRow, unseenRow;     /* the record's */
bool mark, markRow;          /* a run may be there */
bool ready;                  /* the mark is recorded since it was set */
bool running, crashed;       /* a run is out; its worker has crashed and nobody has noticed yet */
bool dirty, givenUp;
byte crashes, more, early, late;

active proctype world() {
  do
  /* A start. */
  :: !running && !givenUp &&
#ifndef NO_GATE
     (seen + unseen == 0 || ready) &&
#endif
     crashes < 9 -> atomic {
       running = true;
       if
       :: crashes >= 3 -> more++
       :: else
       fi;
       assert(more < 3)
     }
  /* It crashes its worker. */
  :: running && !crashed -> atomic { crashed = true; crashes++ }
  /* The leader learns of it. */
  :: running && crashed -> atomic {
       running = false; crashed = false;
       seen++; mark = false; ready = false; dirty = true;
       if
       :: seen >= SEEN_ENOUGH || seen + unseen >= ALL_ENOUGH -> givenUp = true
       :: else
       fi
     }
  /* A trial is about to begin. */
  :: !running && !givenUp && seen + unseen > 0 && !mark -> atomic { mark = true; dirty = true }
  /* What changed is recorded. */
  :: dirty -> atomic {
       dirty = false; ready = mark;
#ifndef NO_RECORD
       seenRow = seen; unseenRow = unseen;
       markRow = mark
#endif
     }
  /* The leader dies; its successor knows the record. */
  :: !givenUp && ((seenRow + unseenRow == 0 && early < EARLY) || (seenRow + unseenRow > 0 && late < LATE)) -> atomic {
       if
       :: seenRow + unseenRow == 0 -> early++
       :: else -> late++
       fi;
       seen = seenRow; unseen = unseenRow; mark = false; ready = false; dirty = false;
       if
       :: running && !crashed -> crashes++ /* it crashes its worker all the same */
       :: else
       fi;
       running = false; crashed = false;
#ifndef NO_MARK
       if
       :: markRow -> unseen++; dirty = true
       :: else
       fi;
#endif
       if
       :: seen + unseen >= ALL_ENOUGH -> givenUp = true
       :: else
       fi
     }
  :: givenUp && !dirty && !running -> break
  :: crashes >= 9 -> break
  od
}
