/* Starts without a write: one task of one cell, two hosts that may lead it, two
 * workers, one row of leadership in the table. See docs/design/platform.md.
 *
 * A worker's list is the record of what runs; only the end of the task is kept
 * in the table. A host that is paused, cut off or unaware is one that simply
 * takes none of its steps. Time appears where it decides: a lease may run out
 * whenever nobody can renew it, and a leader whose tenure is over steps down.
 *
 * What must hold:
 *   once    the task never runs at two workers at the same time;
 *   noted   it is not started after its end was acknowledged to a worker.
 *
 * With SAME_ID a worker that crashed begins anew under the id that it had: the rows that
 * name it name its next life too.
 *
 * With INVENTORY a leader also reads the platform's list of the workers that run. It names a
 * life that runs, names one that has ended no more, and may name one that has just begun
 * only later. What is read may be old when it is used, also under a later leadership.
 */

#define HOSTS 2
#define WORKERS 2
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef RUNS
#define RUNS 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define UNKNOWN 0
#define FREE 1
#define AT 2              /* AT + w: it may run at worker w */
#define DONE 9

byte epoch = 0;           /* of the leadership row */
bit recorded = 0;         /* the end is in the table */
bit roster[WORKERS];      /* the leadership row names this life of the worker */

byte lead[HOSTS];         /* the epoch that a host leads by its own belief; 0: none */
byte task[HOSTS];         /* what it believes of the task */
bit heard[HOSTS * WORKERS];
bit named[HOSTS * WORKERS];/* its own row names this life of the worker */
bit gone[HOSTS * WORKERS]; /* the life of the worker where it believes the task is over */
bit ended[HOSTS * WORKERS];/* a life that it may have to hear is over, not confirmed yet */
bit over[HOSTS * WORKERS];/* what earlier leaders granted there is over */

bit unsure[HOSTS * WORKERS];/* it has not led for sure since it heard this life */

#ifdef INVENTORY
byte life[WORKERS];       /* which life of the worker runs */
bit shown[WORKERS] = 1;   /* the inventory names it */
byte knows[HOSTS * WORKERS];/* the life that a host knows */
byte list[HOSTS * WORKERS];/* whom the inventory named there, asked since that life is known: LISTED(life) or NOBODY; 0: not asked */
#ifdef SAME_ID
bit later[HOSTS * WORKERS];/* the life that runs began after the host knew the one that it knows */
#endif
#endif

byte fence[WORKERS];      /* the highest epoch that the worker has seen */
byte runs_at[WORKERS];    /* the run that it runs; 0: none */
byte highest[WORKERS];    /* the highest run that ended there */
bit stale[WORKERS];       /* its lease ran out after that end: the end does not count */
bit listed[WORKERS];      /* it lists the end until it is acknowledged */
byte order_epoch[WORKERS];/* an order to start that is on its way; 0: none */
byte order_run[WORKERS];

bit noted = 0;
byte runs = 0;
byte crashes = 0;

#define IX(h, w) (h * WORKERS + w)
#define OTHER(x) (1 - x)

/* The fences that a mutant takes out. */
#ifdef NO_SETTLING
#define SETTLED(h, w) true
#else
#ifdef NO_SETTLING_CONFIRMATION
#define SETTLED(h, w) (heard[IX(h, w)] || over[IX(h, w)])
#else
#define SETTLED(h, w) ((heard[IX(h, w)] && !ended[IX(h, w)]) || over[IX(h, w)])
#endif
#endif
#ifdef NO_ROSTER
#define NAMED(h, w) true
#else
#define NAMED(h, w) named[IX(h, w)]
#endif
#ifdef NO_CONFIRMATION
#define CONFIRMED(h) true
#else
#define CONFIRMED(h) (lead[h] == epoch)
#endif
#ifdef NO_LIFE_CONFIRMATION
#define SURE(h, w) true
#else
#define SURE(h, w) !unsure[IX(h, w)]
#endif
#ifdef NO_RECORDED
#define KEPT true
#else
#define KEPT recorded
#endif

#ifdef INVENTORY
#define NOBODY 1
#define LISTED(l) (2 + l)
#ifdef SAME_ID
#define MISSING(h, w) (list[IX(h, w)] == NOBODY)
#define NAMES_IT(h, w) shown[w]
#define BEGAN_LATER(h, w) later[IX(h, w)]
#define KNOWN_SINCE(h, w) later[IX(h, w)] = 0; DROP_LIST(h, w)
#else
#define MISSING(h, w) (list[IX(h, w)] != 0 && list[IX(h, w)] != LISTED(knows[IX(h, w)]))
#define NAMES_IT(h, w) (shown[w] && knows[IX(h, w)] == life[w])
#define BEGAN_LATER(h, w) (knows[IX(h, w)] != life[w])
#define KNOWN_SINCE(h, w) DROP_LIST(h, w)
#endif
#ifdef NO_ASKED_AFTER
#define DROP_LIST(h, w) skip
#else
#define DROP_LIST(h, w) list[IX(h, w)] = 0
#endif
#ifdef NO_LISTING_DELAY
#define NAMED_IF_IT_RUNS(h, w) true
#else
#define NAMED_IF_IT_RUNS(h, w) (shown[w] || BEGAN_LATER(h, w))
#endif
#ifdef NO_LIST_CONFIRMATION
#define LIST_CONFIRMED(h) true
#else
#define LIST_CONFIRMED(h) CONFIRMED(h)
#endif
#ifdef NO_AGE_OF_LIFE
#define OTHER_LIFE_ANSWERS(h, w) false
#else
#define OTHER_LIFE_ANSWERS(h, w) (knows[IX(h, w)] != life[w])
#endif

/* A leader can't tell for how long earlier leaders knew a life. */
inline know_at_takeover(h, w) {
	if
	:: roster[w] -> knows[IX(h, w)] = life[w]
	:: else -> skip
	fi;
	KNOWN_SINCE(h, w)
}

inline know_by_answer(h, w) {
	if
	:: OTHER_LIFE_ANSWERS(h, w) -> KNOWN_SINCE(h, w)
	:: else -> skip
	fi;
	knows[IX(h, w)] = life[w]
}

inline list_life(w) {
	d_step { !shown[w] -> shown[w] = 1 }
}

/* It asks once it has known a life for so long that the inventory names it if it still runs; an answer
 * that does changes nothing. Each page is of its own moment, so each worker is read in a step of its own. */
inline ask_inventory(h, w) {
	d_step {
		lead[h] > 0 && NAMED_IF_IT_RUNS(h, w) && !NAMES_IT(h, w) ->
		if
		:: shown[w] -> list[IX(h, w)] = LISTED(life[w])
		:: else -> list[IX(h, w)] = NOBODY
		fi
	}
}

/* The inventory did not name the life that the leader knows: what ran there is over. */
inline missing_life(h, w) {
	d_step {
		lead[h] > 0 && LIST_CONFIRMED(h) && MISSING(h, w) && (!over[IX(h, w)] || task[h] == AT + w) ->
		over[IX(h, w)] = 1;
		if
		:: task[h] == AT + w -> task[h] = FREE; gone[IX(h, w)] = 0
		:: else -> skip
		fi
	}
}
#endif

inline take_over(h) {
	d_step {
		lead[h] == 0 && epoch < EPOCHS ->
		epoch++;
		lead[h] = epoch;
#ifdef INVENTORY
		know_at_takeover(h, 0);
		know_at_takeover(h, 1);
#endif
		heard[IX(h, 0)] = 0; heard[IX(h, 1)] = 0;
		named[IX(h, 0)] = roster[0];
		named[IX(h, 1)] = roster[1];
		over[IX(h, 0)] = !roster[0];
		over[IX(h, 1)] = !roster[1];
		ended[IX(h, 0)] = 0; ended[IX(h, 1)] = 0;
		unsure[IX(h, 0)] = 0; unsure[IX(h, 1)] = 0;
		if
		:: recorded -> task[h] = DONE
		:: else -> task[h] = UNKNOWN
		fi
	}
}

/* It learns that another leads, or its tenure is over. */
inline step_down(h) {
	d_step { lead[h] > 0 -> lead[h] = 0; task[h] = UNKNOWN }
}

/* A renewal that names this life of the worker took effect. */
inline name_worker(h, w) {
	d_step { lead[h] > 0 && lead[h] == epoch && !roster[w] -> roster[w] = 1; named[IX(h, w)] = 1 }
}

/* A look raises the fence, and its answer lists runs and ends. */
inline look(h, w) {
	d_step {
#ifdef NO_FENCE
		lead[h] > 0 ->
#else
		lead[h] > 0 && fence[w] <= lead[h] ->
		fence[w] = lead[h];
#endif
		heard[IX(h, w)] = 1;
#ifdef INVENTORY
		know_by_answer(h, w);
#endif
		if
		:: listed[w] -> task[h] = DONE
		:: !listed[w] && runs_at[w] > 0 && (task[h] == UNKNOWN || task[h] == FREE) -> task[h] = AT + w; gone[IX(h, w)] = 0
		:: !listed[w] && runs_at[w] == 0 && task[h] == AT + w && !gone[IX(h, w)] && order_epoch[w] == 0 -> task[h] = FREE
		:: else -> skip
		fi
	}
}

inline settle(h) {
	d_step {
		lead[h] > 0 && task[h] == UNKNOWN && SETTLED(h, 0) && SETTLED(h, 1) ->
		task[h] = FREE
	}
}

inline lapse(w) {
	if
	:: runs_at[w] > 0 -> highest[w] = runs_at[w]; runs_at[w] = 0
	:: else -> skip
	fi;
	stale[w] = listed[w]
}

/* Nobody else can grant any more: what was granted at a worker that is not
 * heard is over after a lease. */
inline wait_forerunners(h, w) {
	d_step {
		lead[h] > 0 && lead[h] == epoch && lead[OTHER(h)] == 0 && !heard[IX(h, w)] && !over[IX(h, w)] ->
		over[IX(h, w)] = 1;
		lapse(w);
		order_epoch[w] = 0
	}
}

/* A worker that this leader used is silent: its lease runs out. That it did is
 * sure only if nobody else could renew it, so a renewal of the leadership after
 * that moment must have taken effect. */
inline wait_lease(h, w) {
	d_step {
		lead[h] > 0 && task[h] == AT + w && CONFIRMED(h) ->
		if
		:: fence[w] <= lead[h] -> lapse(w); order_epoch[w] = 0
		:: else -> skip  /* a later leader renews it */
		fi;
		task[h] = FREE
	}
}

#ifdef NO_LEASE_WAIT
inline impatient(h, w) {
	d_step { lead[h] > 0 && lead[h] == epoch && task[h] == AT + w -> task[h] = FREE }
}
#endif

inline start(h, w) {
	d_step {
		lead[h] > 0 && task[h] == FREE && heard[IX(h, w)] && order_epoch[w] == 0 && runs < RUNS && NAMED(h, w) && SURE(h, w) ->
		runs++;
		order_epoch[w] = lead[h];
		order_run[w] = runs;
		gone[IX(h, w)] = 0;
		task[h] = AT + w
	}
}

/* An order may arrive at any time, or never. */
inline arrive(w) {
	d_step {
		order_epoch[w] > 0 ->
		if
#ifdef NO_FENCE
		:: runs_at[w] == 0 && order_run[w] > highest[w] ->
#else
		:: order_epoch[w] >= fence[w] && runs_at[w] == 0 && order_run[w] > highest[w] ->
			fence[w] = order_epoch[w];
#endif
			assert(runs_at[OTHER(w)] == 0);
			assert(!noted);
			runs_at[w] = order_run[w]
		:: else -> skip
		fi;
		order_epoch[w] = 0
	}
}

inline finish(w) {
	d_step { runs_at[w] > 0 -> highest[w] = runs_at[w]; runs_at[w] = 0; listed[w] = 1; stale[w] = 0 }
}

inline record(h) {
	d_step { lead[h] > 0 && lead[h] == epoch && task[h] == DONE && !recorded -> recorded = 1 }
}

/* A look carries it, so it raises the fence. */
inline acknowledge(h, w) {
	d_step {
		lead[h] > 0 && fence[w] <= lead[h] && listed[w] && task[h] == DONE && KEPT ->
#ifndef NO_FENCE
		fence[w] = lead[h];
#endif
		listed[w] = 0; noted = noted || !stale[w]
	}
}

/* Who has heard the life that ends knows what ran there. */
inline forget(h, w) {
	if
	:: heard[IX(h, w)] && !ended[IX(h, w)] -> over[IX(h, w)] = 1
	:: else -> ended[IX(h, w)] = 1
	fi;
	heard[IX(h, w)] = 0
}

/* A worker's life ends and another begins: it has seen no epoch and lists
 * nothing. Orders name the life that is meant. */
inline crash(w) {
	d_step {
		crashes < CRASHES ->
		crashes++;
		runs_at[w] = 0; highest[w] = 0; fence[w] = 0; listed[w] = 0;
		forget(0, w);
		forget(1, w);
#ifdef SAME_ID
		/* Whoever leads has read of the life before in the list of workers. */
		unsure[IX(0, w)] = 1; unsure[IX(1, w)] = 1;
#else
		roster[w] = 0;
		named[IX(0, w)] = 0; named[IX(1, w)] = 0;
#endif
#ifdef INVENTORY
		life[w]++;
		shown[w] = 0;
#ifdef SAME_ID
		later[IX(0, w)] = 1; later[IX(1, w)] = 1;
#endif
#endif
#ifndef NO_INCARNATION
		order_epoch[w] = 0;
#endif
		gone[IX(0, w)] = (task[0] == AT + w);
		gone[IX(1, w)] = (task[1] == AT + w)
	}
}

/* A renewal that was sent after a next life was heard took effect. */
inline confirm_life(h, w) {
	d_step { lead[h] > 0 && lead[h] == epoch && heard[IX(h, w)] && unsure[IX(h, w)] -> unsure[IX(h, w)] = 0 }
}

/* That a life is over is seen in the list of workers; where ids stay, when the next one
 * answers. What ran there may have ended well under a later leader before. With INVENTORY
 * the next one's answer shows it, or the inventory. */
#if defined(SAME_ID) || defined(INVENTORY)
#define SEEN_OVER(h, w) heard[IX(h, w)]
#else
#define SEEN_OVER(h, w) true
#endif
inline life_over(h, w) {
	d_step { lead[h] > 0 && CONFIRMED(h) && SEEN_OVER(h, w) && gone[IX(h, w)] && task[h] == AT + w -> task[h] = FREE; gone[IX(h, w)] = 0 }
}

inline life_heard_of(h, w) {
	d_step { lead[h] > 0 && CONFIRMED(h) && SEEN_OVER(h, w) && ended[IX(h, w)] -> over[IX(h, w)] = 1; ended[IX(h, w)] = 0 }
}

#ifdef INVENTORY
#define INVENTORY_STEPS(h) \
	:: ask_inventory(h, 0) :: ask_inventory(h, 1) \
	:: missing_life(h, 0) :: missing_life(h, 1)
#else
#define INVENTORY_STEPS(h)
#endif

#define FOR_HOST(h) \
	:: take_over(h) \
	:: step_down(h) \
	:: name_worker(h, 0) :: name_worker(h, 1) \
	:: look(h, 0) :: look(h, 1) \
	:: settle(h) \
	:: wait_forerunners(h, 0) :: wait_forerunners(h, 1) \
	:: wait_lease(h, 0) :: wait_lease(h, 1) \
	:: confirm_life(h, 0) :: confirm_life(h, 1) \
	:: life_over(h, 0) :: life_over(h, 1) \
	:: life_heard_of(h, 0) :: life_heard_of(h, 1) \
	INVENTORY_STEPS(h) \
	:: start(h, 0) :: start(h, 1) \
	:: record(h) \
	:: acknowledge(h, 0) :: acknowledge(h, 1)

active proctype day() {
end:	do
	FOR_HOST(0)
	FOR_HOST(1)
#ifdef NO_LEASE_WAIT
	:: impatient(0, 0) :: impatient(0, 1) :: impatient(1, 0) :: impatient(1, 1)
#endif
	:: arrive(0) :: arrive(1)
	:: d_step { order_epoch[0] > 0 -> order_epoch[0] = 0 }  /* lost */
	:: d_step { order_epoch[1] > 0 -> order_epoch[1] = 0 }
	:: finish(0) :: finish(1)
	:: crash(0) :: crash(1)
#ifdef INVENTORY
	:: list_life(0) :: list_life(1)
#endif
	od
}
