/* A cancel of a job of which it is not known whether the table holds it.
 *
 * One id, two submissions and two cancels at any hosts, the leader that removes the
 * tombstone, and a third submission that uses the id again. A call to the table is
 * carried out at any later moment, once or not at all, if its condition holds then;
 * its answer may be lost. A host that ends is one that takes no further step.
 *
 * The names that begin with NO_ take out one fence each. The checker must find a
 * fault without it: see run.sh.
 *
 * What must hold:
 *   kept_out   after a cancel was answered "no job", no submission takes effect, and
 *              none is or was accepted, until the id is used again;
 *   cancelled  a cancel that is answered otherwise has found the job's anchor;
 *   spared     the removal of a tombstone takes no anchor of a job away.
 */

#define ABSENT    0
#define JOB       1
#define TOMBSTONE 2

byte anchor = ABSENT;
byte version = 0;        /* of the anchor's last change, 0 while there is none */
byte counter = 0;        /* the table's counter of versions */

#define SUBMISSIONS 3    /* the last one uses the id again */
#define AGAIN 2
#define CANCELS 2

/* calls that may yet be carried out; each is sent up to twice */
byte inserts[SUBMISSIONS];
byte insertsSent[SUBMISSIONS];
byte stones[CANCELS];
byte stonesSent[CANCELS];
byte removals = 0;
byte removalsSent = 0;

bit accepted[SUBMISSIONS];
bit looked[CANCELS];     /* the cancel has read that there is no anchor */
bit answered[CANCELS];
bit noJob = 0;           /* a cancel was answered "no job" */
bit usedAgain = 0;
byte known = 0;          /* the version of the tombstone that the leader has read */

inline put(what) {
	counter++;
	version = counter;
	anchor = what
}

/* A tombstone outlives the submissions of the id's first life and their open calls. */
#define openInsert (inserts[0] > 0 || inserts[1] > 0)
#define submitted  (insertsSent[0] > 0 && insertsSent[1] > 0)
#ifdef NO_LIFETIME
#define stoneOver  (true)
#define mayInsert(i) (insertsSent[i] < 2 && !accepted[i] && !usedAgain)
#else
#define stoneOver  (submitted && !openInsert)
#define mayInsert(i) (insertsSent[i] < 2 && !accepted[i] && removalsSent == 0)
#endif

inline send_insert(i) {
	insertsSent[i]++;
	inserts[i]++
}

/* carries an insertion out; its answer may arrive */
inline carry_insert(i) {
	inserts[i]--;
	if
	:: anchor == ABSENT ->
		assert(i == AGAIN || !noJob);                /* kept_out */
		put(JOB);
		if
		:: accepted[i] = 1
		:: skip                                      /* the answer is lost */
		fi
	:: anchor == JOB ->
		if
		:: accepted[i] = 1
		:: skip
		fi
	:: anchor == TOMBSTONE                           /* refused, if the answer arrives */
	fi;
	assert(i == AGAIN || !(accepted[i] && noJob && !usedAgain))  /* kept_out */
}

inline answer_no_job(c) {
	answered[c] = 1;
	noJob = 1;
	assert(!accepted[0] && !accepted[1])             /* kept_out */
}

inline answer_cancelled(c) {
	answered[c] = 1;
	assert(anchor == JOB)                            /* cancelled */
}

/* reads the anchor and answers, or goes on to the tombstone */
inline look(c) {
	if
	:: anchor == JOB -> answer_cancelled(c)
	:: anchor == TOMBSTONE -> answer_no_job(c)
	:: anchor == ABSENT ->
#ifdef NO_TOMBSTONE
		answer_no_job(c)
#else
		looked[c] = 1
#endif
	fi
}

inline send_stone(c) {
	stonesSent[c]++;
	stones[c]++;
#ifdef NO_ANSWER
	answer_no_job(c)
#endif
}

/* carries the write of a tombstone out; its answer may arrive */
inline carry_stone(c) {
	stones[c]--;
	if
#ifdef NO_CONDITION
	:: true ->
#else
	:: anchor == ABSENT ->
#endif
		put(TOMBSTONE);
		if
		:: !answered[c] -> answer_no_job(c)
		:: skip
		fi
#ifndef NO_CONDITION
	:: anchor != ABSENT && !answered[c] ->
		if
		:: look(c)                                   /* the conflict names the row */
		:: skip
		fi
	:: anchor != ABSENT && answered[c]
#endif
	fi
}

inline carry_removal() {
	removals--;
	if
#ifdef NO_VERSION
	:: anchor != ABSENT ->
#else
	:: anchor != ABSENT && version == known ->
#endif
		assert(anchor == TOMBSTONE);                 /* spared */
		anchor = ABSENT;
		version = 0
	:: else
	fi
}

/* The cancels are over when the id is used again, as all calls of its first life are. */
#define firstLifeOver (submitted && !openInsert && stones[0] == 0 && stones[1] == 0 && stonesSent[0] + answered[0] > 0 && stonesSent[1] + answered[1] > 0)

active proctype World() {
end:
	do
	:: d_step { mayInsert(0) -> send_insert(0) }
	:: d_step { mayInsert(1) -> send_insert(1) }
	:: atomic { inserts[0] > 0 -> carry_insert(0) }
	:: atomic { inserts[1] > 0 -> carry_insert(1) }
	:: d_step { inserts[0] > 0 -> inserts[0]-- }     /* never carried out */
	:: d_step { inserts[1] > 0 -> inserts[1]-- }

	:: atomic { !answered[0] && !usedAgain -> look(0) }
	:: atomic { !answered[1] && !usedAgain -> look(1) }
	:: atomic { looked[0] && !answered[0] && stonesSent[0] < 2 && !usedAgain -> send_stone(0) }
	:: atomic { looked[1] && !answered[1] && stonesSent[1] < 2 && !usedAgain -> send_stone(1) }
	:: atomic { stones[0] > 0 -> carry_stone(0) }
	:: atomic { stones[1] > 0 -> carry_stone(1) }
	:: d_step { stones[0] > 0 -> stones[0]-- }
	:: d_step { stones[1] > 0 -> stones[1]-- }

	/* the leader, and its successors */
	:: d_step { anchor == TOMBSTONE -> known = version }
	:: d_step { known > 0 && removalsSent < 2 && stoneOver -> removalsSent++; removals++ }
	:: atomic { removals > 0 -> carry_removal() }
	:: d_step { removals > 0 -> removals-- }

	/* the id is used again */
	:: d_step { removalsSent > 0 && anchor == ABSENT && firstLifeOver && !usedAgain -> usedAgain = 1; send_insert(AGAIN) }
	:: atomic { inserts[AGAIN] > 0 -> carry_insert(AGAIN) }
	od
}
