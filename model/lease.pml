/* Leadership, tenure, task leases, worker incarnations, attempts.
 *
 * One task, two entry hosts, two workers, any length of time. Time is a set of
 * timers that count down together, at any moment. An entry host may act late or
 * never (a pause); a message may come late, be overtaken, or never come (a cut);
 * its answer may be lost; a write to the table may wait for ever (an outage), and
 * its answer be lost after it took effect. Pauses, cuts and outages need no part
 * of their own: they are steps not taken.
 *
 * The names that begin with WITHOUT_ make the world smaller, so that the rest can
 * be searched whole.
 *
 * The names that begin with NO_ take out one fence each. The checker must find a
 * fault without it: see run.sh.
 *
 * What must hold:
 *   one_place  no attempt works while another does. A worker works only while its
 *              lease is good by its own clock, so that is what counts;
 *   one_start  no attempt is started twice;
 *   once       (NOT_REPEATABLE) after the first start, every other one resumes
 *              from a confirmed stop.
 */

#ifndef TENURE
#define TENURE 2     /* how long a leader may grant after its last renewal */
#endif
#ifndef LEASE
#define LEASE  1     /* how long a worker works after it was last granted to */
#endif
#ifndef CLAIMS
#define CLAIMS 2     /* how often the leadership changes hands */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef REBOOTS
#define REBOOTS 1
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* ------------------------------------------------------------- the table */

#define WAITING 0    /* else 1 or 2: placed on that worker */
#define ENDED   3

byte tEpoch = 0;
byte tAttempt = 1;
byte tWhere = WAITING;
byte tInc = 0;       /* the incarnation that it was placed on */
bit  tResume = 0;    /* this attempt resumes from a confirmed stop */
byte tReg1 = 1;      /* the registered incarnation of each worker */
byte tReg2 = 1;

/* ------------------------------------------------------------ the workers */

byte wInc[3];        /* 1, and more after each reboot */
byte wEpoch[3];
byte wLeft[3];       /* what is left of the lease */
byte wRun[3];        /* the attempt that runs, 0 for none */
byte wEnd[3];        /* the attempt that ended and is not yet recorded */
bit  wStopped[3];    /* it ended by a stop, not by finishing */
byte reboots = 0;

#ifdef NO_LAPSE
#define works(w) (wRun[w] != 0)
#define lapsed(w) (false)
#else
#define works(w) (wRun[w] != 0 && wLeft[w] > 0)
#define lapsed(w) (wRun[w] != 0 && wLeft[w] == 0)
#endif

/* --------------------------------------------------------- the entry hosts */

typedef Host {
	bit  leads;
	byte epoch;
	byte tenure;         /* how long it may still grant */
	byte pred;           /* how long leases of earlier leaders may still live */
	/* the row as wanted, and whether the table surely holds it */
	byte attempt; byte where; byte inc; bit resume; bit clean;
	bit  unsure;         /* a commit's answer was lost: nothing new is decided */
	bit  sent;           /* a start of this attempt may have been taken in */
	bit  stop;           /* an eviction was asked for */
	byte reg[3]; byte reported[3]; bit raised[3];
	byte over[3];        /* how long leases that it knows of may still live */
};
Host h[2];

/* Messages to workers. A message is taken in at once, with its answer or without,
 * or is lost, or is held up: one at a time, in the whole world, is held up and may
 * come at any later moment. Of two messages only the order matters: the held one
 * is marked stale when a newer one of its sender has been taken in. */
typedef Message { bit is; byte epoch; byte inc; bit lease; byte left; byte start; bit resume; bit stop };
Message msg;              /* the one that is being sent */
Message late;             /* the one that is held up */
byte lateHost; byte lateWorker; bit lateStale;

byte starts[5];          /* how often each attempt was started */
byte fresh = 0;          /* starts that don't resume from a confirmed stop */

inline clear(z) {
	z.is = 0; z.epoch = 0; z.inc = 0; z.lease = 0; z.left = 0; z.start = 0; z.resume = 0; z.stop = 0
}

/* ------------------------------------------------------------- the fences */

#ifdef NO_TENURE_WAIT
#define predecessorsOver(i) (true)
#else
#define predecessorsOver(i) (h[i].pred == 0)
#endif
#define leaseOver(i, w) (h[i].over[w] == 0 && (h[i].raised[w] || predecessorsOver(i)))

#ifdef NO_REGISTRATION
#define registered(i, w) (true)
#define rightIncarnation(i, w) (true)
#else
#define registered(i, w) (h[i].reported[w] == h[i].reg[w])
#define rightIncarnation(i, w) (h[i].inc == h[i].reg[w])
#endif

#ifdef NO_COMMIT_FIRST
#define committed(i) (true)
#else
#define committed(i) (h[i].clean)
#endif

#ifdef NO_RECORDED
#define recorded(i, e) (true)
#else
#define recorded(i, e) (h[i].clean && (h[i].attempt > e || h[i].where == ENDED))
#endif

#ifdef NO_CAP
#define granted(i) LEASE
#else
#define granted(i) MIN(LEASE, h[i].tenure)
#endif

#ifdef NO_EPOCH
#define epochGood(x, w) (true)
#else
#define epochGood(x, w) (x.epoch >= wEpoch[w])
#endif
#ifdef NO_SEQUENCE
#define sequenceGood(old) (true)
#else
#define sequenceGood(old) (!old)
#endif
#ifdef NO_INCARNATION
#define incarnationGood(x, w) (true)
#else
#define incarnationGood(x, w) (x.inc == 0 || x.inc == wInc[w])
#endif
#define leaseGood(x) (!x.lease || x.left > 0)

/* ------------------------------------------------------ leader's decisions */

inline requeue(i, resumes) {
	h[i].attempt++; h[i].where = WAITING; h[i].inc = 0; h[i].resume = resumes; h[i].clean = 0; h[i].sent = 0; h[i].stop = 0
}

inline end(i) { h[i].where = ENDED; h[i].inc = 0; h[i].clean = 0; h[i].sent = 0; h[i].stop = 0 }

/* Lost: the attempt can't be running any more, but may have run. */
inline lose(i) {
	if
#ifdef NOT_REPEATABLE
	:: h[i].sent -> end(i)           /* ends as unknown */
	:: !h[i].sent && h[i].attempt < ATTEMPTS -> requeue(i, 0)
#else
	:: h[i].attempt < ATTEMPTS -> requeue(i, 0)
#endif
	:: h[i].attempt == ATTEMPTS -> end(i)
	fi
}

/* Everything is forgotten, so that no two states differ by what is of no use. */
inline depose(i) {
	h[i].leads = 0; h[i].epoch = 0; h[i].tenure = 0; h[i].pred = 0;
	h[i].attempt = 0; h[i].where = 0; h[i].inc = 0; h[i].resume = 0; h[i].clean = 0; h[i].unsure = 0; h[i].sent = 0; h[i].stop = 0;
	h[i].reg[1] = 0; h[i].reg[2] = 0; h[i].reported[1] = 0; h[i].reported[2] = 0; h[i].raised[1] = 0; h[i].raised[2] = 0;
	h[i].over[1] = 0; h[i].over[2] = 0
}

inline place(i, w) {
	h[i].where = w; h[i].inc = h[i].reg[w]; h[i].clean = 0; h[i].sent = 0; h[i].stop = 0
}

/* ------------------------------------------------------ taking a message in */

/* A worker that has started afresh: all that was placed on it before is over
 * for good, and nothing is granted before the table holds its name. */
inline hearIncarnation(i, w) {
	if
	:: h[i].reported[w] != wInc[w] ->
		h[i].reported[w] = wInc[w]; h[i].over[w] = 0; h[i].raised[w] = 0;
#ifndef NO_REGISTRATION
		if
		:: h[i].reg[w] != wInc[w] ->
			if
			:: h[i].where == w && h[i].inc != wInc[w] -> lose(i)
			:: else -> skip
			fi;
			h[i].reg[w] = wInc[w]; h[i].clean = 0
		:: else -> skip
		fi
#endif
	:: else -> skip
	fi
}

/* What the worker holds against what it should hold. */
inline hearRuns(i, w) {
	if
	:: h[i].where == w && h[i].clean && wEnd[w] == h[i].attempt ->
		if
		:: wStopped[w] && h[i].attempt < ATTEMPTS -> requeue(i, 1)
		:: else -> end(i)
		fi
	:: h[i].where == w && wEnd[w] != h[i].attempt && wRun[w] == h[i].attempt -> h[i].sent = 1
	:: h[i].where == w && wEnd[w] != h[i].attempt && wRun[w] != h[i].attempt -> h[i].sent = 0; h[i].stop = 0
	:: else -> skip
	fi;
	/* an end that the table holds, or has moved past, may be forgotten */
	if
	:: wEnd[w] != 0 && recorded(i, wEnd[w]) -> wEnd[w] = 0; wStopped[w] = 0
	:: else -> skip
	fi
}

/* An answer that comes in while a commit is unsure changes nothing but marks:
 * the worker will say the same again. */
inline answer(i, w, refused) {
	if
	:: wEpoch[w] > h[i].epoch -> depose(i)
	:: wEpoch[w] <= h[i].epoch && h[i].unsure -> skip
	:: wEpoch[w] <= h[i].epoch && !h[i].unsure ->
		hearIncarnation(i, w);
		if
		:: !refused ->
			h[i].over[w] = MAX(h[i].over[w], wLeft[w]);
			h[i].raised[w] = 1;
			hearRuns(i, w)
		:: else -> skip
		fi
	fi
}

inline obey(x, w) {
	if
	:: x.lease -> wLeft[w] = MAX(wLeft[w], x.left)
	:: else -> skip
	fi;
	if
	:: x.stop && wRun[w] != 0 -> wEnd[w] = wRun[w]; wRun[w] = 0; wStopped[w] = 1
	:: x.start != 0 && wRun[w] == 0 && wEnd[w] == 0 ->
		wRun[w] = x.start; starts[x.start]++;
		if
		:: x.resume -> skip
		:: else -> fresh++
		fi
	:: else -> skip
	fi
}

inline check() {
	assert(!(works(1) && works(2)));                            /* one_place */
	assert(starts[1] < 2 && starts[2] < 2 && starts[3] < 2);    /* one_start */
#ifdef NOT_REPEATABLE
	assert(fresh < 2);                                          /* once */
#endif
}

/* The worker takes a message in, and its answer comes or is lost. */
inline deliver(x, i, w, old, answered) {
	if
	:: epochGood(x, w) && sequenceGood(old) && incarnationGood(x, w) && leaseGood(x) ->
		wEpoch[w] = MAX(wEpoch[w], x.epoch);
		obey(x, w);
		if
		:: answered -> answer(i, w, false)
		:: skip
		fi
	:: else ->
		wEpoch[w] = MAX(wEpoch[w], x.epoch);
		if
		:: answered -> answer(i, w, true)
		:: skip
		fi
	fi;
	clear(x);
	check()
}

inline overtake(i, w) {
	if
	:: late.is && lateHost == i && lateWorker == w -> lateStale = 1
	:: else -> skip
	fi
}

inline compose(i, w) {
	msg.is = 1; msg.epoch = h[i].epoch; msg.inc = h[i].reported[w];
	if
	:: h[i].reported[w] != 0 && registered(i, w) && h[i].tenure > 0 ->
		msg.lease = 1;
		msg.left = granted(i);
		h[i].over[w] = MAX(h[i].over[w], msg.left);
		if
		:: h[i].raised[w] && h[i].where == w && h[i].stop -> msg.stop = 1
		:: h[i].raised[w] && h[i].where == w && !h[i].stop && committed(i) && rightIncarnation(i, w) ->
			msg.start = h[i].attempt; msg.resume = h[i].resume; h[i].sent = 1
		:: else -> skip
		fi
	:: else -> skip
	fi
}

inline hold(i, w) {
	late.is = 1; late.epoch = msg.epoch; late.inc = msg.inc; late.lease = msg.lease; late.left = msg.left;
	late.start = msg.start; late.resume = msg.resume; late.stop = msg.stop;
	lateHost = i; lateWorker = w; lateStale = 0
}

inline send(i, w) {
	compose(i, w);
	if
	:: true -> overtake(i, w); deliver(msg, i, w, false, true)
#ifndef WITHOUT_LOSS
	:: true -> overtake(i, w); deliver(msg, i, w, false, false)
	:: !late.is && msg.lease -> hold(i, w)
#endif
	:: skip
	fi;
	clear(msg)
}

proctype Leader(byte i) {
	do
	/* claim: the epoch goes up and the state is loaded. No wait goes before it,
	 * so nothing that is shown rests on one. The hosts take turns: that one claims
	 * twice in a row is the same as if the other did, under another name. */
	:: atomic { !h[i].leads && tEpoch < CLAIMS && (tEpoch % 2) == i ->
		h[i].pred = (tEpoch == 0 -> 0 : TENURE);
		tEpoch++;
		h[i].leads = 1; h[i].epoch = tEpoch; h[i].tenure = TENURE;
		h[i].attempt = tAttempt; h[i].where = tWhere; h[i].inc = tInc; h[i].resume = tResume; h[i].clean = 1;
		h[i].unsure = 0; h[i].sent = (tWhere == 1 || tWhere == 2); h[i].stop = 0;
		h[i].reg[1] = tReg1; h[i].reg[2] = tReg2;
		h[i].reported[1] = 0; h[i].reported[2] = 0; h[i].raised[1] = 0; h[i].raised[2] = 0;
		h[i].over[1] = 0; h[i].over[2] = 0 }

	/* a group commit, which renews the leadership. The tenure is counted from
	 * here, which is later than where the code counts from. */
	:: atomic { h[i].leads && (h[i].unsure || !h[i].clean || h[i].tenure < TENURE) ->
		if
		:: tEpoch == h[i].epoch ->   /* the condition on the leader row */
			tAttempt = h[i].attempt; tWhere = h[i].where; tInc = h[i].inc; tResume = h[i].resume;
			tReg1 = h[i].reg[1]; tReg2 = h[i].reg[2];
			if
			:: h[i].tenure = TENURE; h[i].clean = 1; h[i].unsure = 0
#ifndef WITHOUT_LOSS
			:: h[i].unsure = 1        /* the answer is lost: the same is sent again */
#endif
			fi
		:: else -> depose(i)
		fi }

	/* place the waiting task on a worker that answers */
	:: atomic { h[i].leads && !h[i].unsure && h[i].clean && h[i].where == WAITING && h[i].raised[1] && h[i].reported[1] == h[i].reg[1] -> place(i, 1) }
	:: atomic { h[i].leads && !h[i].unsure && h[i].clean && h[i].where == WAITING && h[i].raised[2] && h[i].reported[2] == h[i].reg[2] -> place(i, 2) }

#ifndef WITHOUT_EVICTION
	/* evict */
	:: atomic { h[i].leads && h[i].clean && h[i].sent && !h[i].stop && h[i].attempt < ATTEMPTS -> h[i].stop = 1 }
#endif

	/* give up on a worker whose lease is surely over */
	:: atomic { h[i].leads && !h[i].unsure && h[i].clean && h[i].where == 1 && leaseOver(i, 1) -> h[i].raised[1] = 0; lose(i) }
	:: atomic { h[i].leads && !h[i].unsure && h[i].clean && h[i].where == 2 && leaseOver(i, 2) -> h[i].raised[2] = 0; lose(i) }

	:: atomic { h[i].leads -> send(i, 1) }
	:: atomic { h[i].leads -> send(i, 2) }
	od
}

inline down(timer) {
	if
	:: timer > 0 -> timer--
	:: else -> skip
	fi
}

/* A lapse is a stop by the worker itself; the checkpoint is what it has done. */
inline lapse(w) {
	if
	:: lapsed(w) -> wEnd[w] = wRun[w]; wRun[w] = 0; wStopped[w] = 1
	:: else -> skip
	fi
}

inline tick() {
	down(wLeft[1]); down(wLeft[2]); lapse(1); lapse(2);
	down(h[0].tenure); down(h[0].pred); down(h[0].over[1]); down(h[0].over[2]);
	down(h[1].tenure); down(h[1].pred); down(h[1].over[1]); down(h[1].over[2]);
	down(late.left)
}

proctype World() {
	do
	:: atomic { tick() }
#ifndef WITHOUT_FINISH
	:: atomic { works(1) -> wEnd[1] = wRun[1]; wRun[1] = 0; wStopped[1] = 0 }
	:: atomic { works(2) -> wEnd[2] = wRun[2]; wRun[2] = 0; wStopped[2] = 0 }
#endif
	:: atomic { reboots < REBOOTS ->
		reboots++; wInc[1]++; wEpoch[1] = 0; wLeft[1] = 0; wRun[1] = 0; wEnd[1] = 0; wStopped[1] = 0;
		lateStale = (lateWorker == 1 -> 0 : lateStale) /* the order of messages is forgotten too */ }
	:: atomic { late.is && lateWorker == 1 -> deliver(late, lateHost, 1, lateStale, false); clear(late); lateHost = 0; lateWorker = 0; lateStale = 0 }
	:: atomic { late.is && lateWorker == 2 -> deliver(late, lateHost, 2, lateStale, false); clear(late); lateHost = 0; lateWorker = 0; lateStale = 0 }
	od
}

init {
	atomic {
		wInc[1] = 1; wInc[2] = 1;
		run Leader(0); run Leader(1); run World()
	}
}
