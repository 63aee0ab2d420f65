/* Versions of the settings: two operators who race, three processes, readings
 * that lag, offers among peers that come late, processes that start anew.
 *
 * What must hold:
 *   one      no version number stands for two edits;
 *   again    an edit that is asked again is accepted once;
 *   forward  no process ever goes back to a lower version.
 */

#define PROCS 3
#ifndef VERSIONS
#define VERSIONS 3
#endif

byte table = 0;              /* the version in force */
byte edit[VERSIONS + 2];     /* which edit each version is; 0 for none */
byte accepted[5];            /* how often each edit was accepted */
byte have[PROCS];
byte offer = 0;              /* an offer on its way; 0 for none */
byte offers = 0;
byte starts = 0;

/* An operator reads the version, edits, and asks again if the answer is lost. */
proctype Operator(byte id) {
	byte base; bit lost; byte held;
	base = table;
	do
	:: atomic {
		/* has this edit been accepted already? the history tells */
#ifndef NO_EDIT_ID
		if
		:: edit[base + 1] == id -> break
		:: else -> skip
		fi;
#endif
		held = table }
	   atomic {
		if
#ifdef NO_CONDITION
		:: held < VERSIONS ->
#else
		:: table == held && held < VERSIONS &&
#ifdef NO_EDIT_ID
		   true ->
#else
		   held == base ->
#endif
#endif
			table = held + 1;
			assert(edit[table] == 0 || edit[table] == id);   /* one */
			edit[table] = id;
			accepted[id]++;
			assert(accepted[id] < 2);                        /* again */
			if
			:: break
			:: lost = 1        /* the answer is lost: ask again, with the same id */
			fi
		:: else -> break       /* a conflict: told so */
		fi }
	od
}

inline accept(p, v) {
	held = have[p];
	if
#ifdef NO_MONOTONIC
	:: v != have[p] -> have[p] = v
#else
	:: v > have[p] -> have[p] = v
#endif
	:: else -> skip
	fi;
	assert(have[p] >= held)                                  /* forward */
}

proctype Process(byte p) {
	byte read; byte held;
	do
	:: read = table                                  /* the reading lags */
	:: atomic { read != 0 -> accept(p, read); read = 0 }
	:: atomic { have[p] != 0 && offer == 0 && offers < 3 -> offer = have[p]; offers++ }
	:: atomic { offer != 0 -> accept(p, offer); if :: offer = 0 :: skip fi }
	:: atomic { starts < 1 -> starts++; have[p] = 0; read = 0 }   /* a new process */
	od
}

init {
	atomic {
		run Operator(1); run Operator(2);
		run Process(0); run Process(1)
	}
}
