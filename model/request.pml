/* A key that must not run twice: one caller, three entry hosts.
 *
 * The caller sends a first try to any host and, when it hears nothing good, asks
 * again, marked, at any host. A host may die at any moment and be replaced by one
 * that knows nothing. Asking a peer takes one step; a cut makes it fail.
 *
 * What must hold:
 *   once     the work runs at most once;
 *   honest   when the caller is told "not run", that try did not run.
 */

#define HOSTS 3
#ifndef TRIES
#define TRIES 3
#endif

mtype = { none, promised, asking, running, mayHaveRun, notRun, yielded };

mtype key[HOSTS];
bit   asked[HOSTS];       /* another host has asked for the key */
bit   young[HOSTS];       /* younger than the key: can't vouch for it */
bit   dead[HOSTS];
byte  deaths = 0;
byte  ran = 0;            /* how often the work ran */
byte  tries = 0;
byte  open = 0;           /* tries that are under way */

#ifdef NO_AGE
#define canVouch(p) (true)
#else
#define canVouch(p) (!young[p])
#endif

/* What peer p says to host i; its promise is left. In the code: Keys.Asked. */
inline askPeer(i, p, maybe, unsure) {
	if
	:: dead[p] -> unsure = 1
	:: unsure = 1                      /* cut off, for the moment */
	:: !dead[p] && key[p] == none ->
#ifndef NO_PROMISE
		key[p] = promised; asked[p] = 1;
#endif
		unsure = (canVouch(p) -> unsure : 1)
	:: !dead[p] && key[p] == promised -> asked[p] = 1; unsure = (canVouch(p) -> unsure : 1)
	:: !dead[p] && (key[p] == notRun || key[p] == yielded) -> asked[p] = 1
	:: !dead[p] && key[p] == asking && i < p -> key[p] = yielded; asked[p] = 1
	:: !dead[p] && key[p] == asking && i > p -> maybe = 1; asked[p] = 1
	:: !dead[p] && (key[p] == running || key[p] == mayHaveRun) -> maybe = 1
	fi
}

/* One try at host i. */
proctype Try(byte i; bit marked) {
	bit must; bit maybe; bit unsure; bit begun; byte p; byte before;
	/* begin */
	atomic {
		if
		:: dead[i] -> goto gone
		:: !dead[i] && (key[i] == none || key[i] == promised || key[i] == notRun || key[i] == yielded) ->
			must = marked || (key[i] != none && asked[i]);
			key[i] = asking
		:: else -> goto gone           /* the earlier try's answer stands */
		fi
	}
#ifndef NO_ASK
	p = 0;
	do
	:: p < HOSTS && p != i -> atomic { askPeer(i, p, maybe, unsure); p++ }
	:: p == i -> p++
	:: p == HOSTS -> break
	od;
	if
	:: maybe || (must && (unsure || !canVouch(i))) -> atomic {
		if
		:: !dead[i] && key[i] == asking -> key[i] = mayHaveRun    /* told: unknown */
		:: else -> skip
		fi;
		goto gone }
	:: else -> skip
	fi;
#endif
	/* run */
	atomic {
		if
		:: !dead[i] && key[i] == asking -> key[i] = running
		:: else -> goto gone           /* yielded: told "not run"; or the host died */
		fi
	}
	/* send to a server: it runs, and its answer comes or is lost; or there is no
	 * connection. A host that dies may have sent it or not. */
	atomic {
		if
		:: dead[i] -> goto gone
		:: else -> before = ran
		fi;
		if
		:: ran++; begun = 1; if :: !dead[i] -> key[i] = mayHaveRun :: else -> skip fi   /* done, or unknown */
		:: key[i] = notRun             /* no connection: told "not run" */
#ifdef NO_SENT_MARK
		:: ran++; key[i] = notRun      /* no answer, and told "not run" */
#endif
		fi;
		assert(ran < 2);                               /* once */
		assert(key[i] != notRun || ran == before)      /* honest */
	}
gone:
	open--
}

proctype Caller() {
	byte i;
	do
	:: atomic { tries < TRIES -> select(i : 0 .. HOSTS - 1); open++; tries++; run Try(i, (tries > 1)) }
	:: tries == TRIES -> break
	od
}

proctype World() {
	byte i;
	do
	:: atomic { deaths < 2 -> select(i : 0 .. HOSTS - 1);
		if
		:: !dead[i] -> dead[i] = 1; key[i] = none; asked[i] = 0; deaths++
		:: else -> skip
		fi }
	:: atomic { dead[0] -> dead[0] = 0; young[0] = (tries > 0) }
	:: atomic { dead[1] -> dead[1] = 0; young[1] = (tries > 0) }
	:: atomic { dead[2] -> dead[2] = 0; young[2] = (tries > 0) }
	:: tries == TRIES && open == 0 -> break
	od
}

init {
	atomic {
		key[0] = none; key[1] = none; key[2] = none;
		run Caller(); run World()
	}
}
