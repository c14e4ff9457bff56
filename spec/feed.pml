/*
 * Copies of a kind of the store's objects at routers that watch the store, hand
 * changes on to each other, or hand over whole contents. Answers are late: they
 * are applied after any other step. Routers crash and start with empty memory.
 *
 * Checked: a copy at a revision holds exactly what the store held at it; within
 * an incarnation the revision never falls.
 */
#ifndef ROUTERS
#define ROUTERS 2
#endif
#ifndef CHANGES
#define CHANGES 4      /* that the store makes; revision c is its c-th */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define NAMES 2
#define CELLS (CHANGES + 1)

/* Kinds of answers on their way. */
#define NOTHING  0
#define UPDATES  1     /* changes after a revision, by a watch or from a peer */
#define CONTENT  2     /* a whole content, from the store or from a peer */

byte revision;                     /* of the store */
byte changed[CELLS];               /* name that the change was about */
bit  removed[CELLS];
byte truth[CELLS * NAMES];         /* what the store held: revision of the object; 0: none */

byte at[ROUTERS];                  /* revision of the copy; 0: no copy */
byte holds[ROUTERS * NAMES];
byte base[ROUTERS];                /* changes after it are kept for others */
byte kept[ROUTERS * CELLS];        /* revision of the copy with the change; 0: not kept */

byte kind[ROUTERS];                /* of the answer on its way to a router */
byte from[ROUTERS];                /* revision that it follows */
byte to[ROUTERS];                  /* revision that it leads to */
bit  part[ROUTERS * CELLS];        /* changes in it */
byte whole[ROUTERS * NAMES];       /* content in it */

byte crashes;
byte c;
byte n;

inline check(p) {
	n = 0;
	do
	:: n < NAMES ->
		assert(at[p] == 0 || holds[p * NAMES + n] == truth[at[p] * NAMES + n]);
		n++
	:: else -> break
	od;
	n = 0
}

inline forget_answer(p) {
	kind[p] = NOTHING;
	from[p] = 0;
	to[p] = 0;
	c = 1;
	do
	:: c <= CHANGES -> part[p * CELLS + c] = 0; c++
	:: else -> break
	od;
	whole[p * NAMES] = 0;
	whole[p * NAMES + 1] = 0;
	c = 0
}

/* The store makes a change. */
inline change(name, gone) {
	revision++;
	changed[revision] = name;
	removed[revision] = gone;
	truth[revision * NAMES] = truth[(revision - 1) * NAMES];
	truth[revision * NAMES + 1] = truth[(revision - 1) * NAMES + 1];
	if
	:: gone -> truth[revision * NAMES + name] = 0
	:: else -> truth[revision * NAMES + name] = revision
	fi
}

/* A watch is answered; its answer is on its way. */
inline answer_watch(p) {
	kind[p] = UPDATES;
	from[p] = at[p];
	to[p] = revision;
	c = 1;
	do
	:: c <= revision ->
		if
		:: c > at[p] -> part[p * CELLS + c] = 1
		:: else
		fi;
		c++
	:: else -> break
	od;
	c = 0
}

/* A peer q hands on the changes after the revision of p. */
inline answer_changes(p, q) {
	kind[p] = UPDATES;
	from[p] = at[p];
	to[p] = at[q];
	c = 1;
	do
	:: c <= CHANGES ->
		if
		:: kept[q * CELLS + c] > at[p] -> part[p * CELLS + c] = 1
		:: else
		fi;
		c++
	:: else -> break
	od;
	c = 0
}

inline apply_updates(p) {
	if
#ifdef NO_FROM
	:: true ->
#else
	:: from[p] == at[p] ->
#endif
		c = 1;
		do
		:: c <= CHANGES ->
			if
			:: part[p * CELLS + c] ->
				if
				:: removed[c] -> holds[p * NAMES + changed[c]] = 0
				:: !removed[c] && c >= holds[p * NAMES + changed[c]] -> holds[p * NAMES + changed[c]] = c
				:: else
				fi;
				kept[p * CELLS + c] = to[p]
			:: else
			fi;
			c++
		:: else -> break
		od;
		c = 0;
		assert(to[p] >= at[p]);
		at[p] = to[p]
	:: else
	fi;
	forget_answer(p);
	check(p)
}

inline apply_content(p) {
	if
#ifdef NO_GREATER
	:: true ->
#else
	:: to[p] > at[p] ->
#endif
		assert(to[p] >= at[p]);
		holds[p * NAMES] = whole[p * NAMES];
		holds[p * NAMES + 1] = whole[p * NAMES + 1];
		at[p] = to[p];
#ifndef BASE_KEPT
		base[p] = to[p];
		c = 1;
		do
		:: c <= CHANGES -> kept[p * CELLS + c] = 0; c++
		:: else -> break
		od;
		c = 0
#endif
	:: else
	fi;
	forget_answer(p);
	check(p)
}

inline crash(p) {
	crashes++;
	at[p] = 0;
	base[p] = 0;
	holds[p * NAMES] = 0;
	holds[p * NAMES + 1] = 0;
	c = 1;
	do
	:: c <= CHANGES -> kept[p * CELLS + c] = 0; c++
	:: else -> break
	od;
	c = 0;
	forget_answer(p)
}

active proctype store() {
	do
	:: atomic { revision < CHANGES -> change(0, 0) }
	:: atomic { revision < CHANGES -> change(1, 0) }
	:: atomic { revision < CHANGES && truth[revision * NAMES] != 0 -> change(0, 1) }
	:: revision == CHANGES -> break
	od
}

active [ROUTERS] proctype router() {
	byte me = _pid - 1;
	byte peer;
	do
	:: atomic { kind[me] == NOTHING && at[me] != 0 && revision > at[me] -> answer_watch(me) }
	:: atomic { kind[me] == NOTHING && revision > 0 ->
		kind[me] = CONTENT;
		to[me] = revision;
		whole[me * NAMES] = truth[revision * NAMES];
		whole[me * NAMES + 1] = truth[revision * NAMES + 1] }
	:: atomic { kind[me] == NOTHING ->
		peer = (me + 1) % ROUTERS;
		if
		:: at[me] != 0 && at[peer] > at[me] && at[me] >= base[peer] -> answer_changes(me, peer)
		:: at[peer] != 0 ->
			kind[me] = CONTENT;
			to[me] = at[peer];
			whole[me * NAMES] = holds[peer * NAMES];
			whole[me * NAMES + 1] = holds[peer * NAMES + 1]
		:: else
		fi;
		peer = 0 }
	/* While an answer is on its way, the other way of learning may overtake it. */
	:: atomic { kind[me] == UPDATES && revision > at[me] ->
		if
		:: apply_updates(me)
		:: holds[me * NAMES] = truth[revision * NAMES];
			holds[me * NAMES + 1] = truth[revision * NAMES + 1];
			at[me] = revision;
			base[me] = revision;
			c = 1;
			do
			:: c <= CHANGES -> kept[me * CELLS + c] = 0; c++
			:: else -> break
			od;
			c = 0
		fi }
	:: atomic { kind[me] == CONTENT && at[me] != 0 && revision > at[me] ->
		/* a list of the store comes first */
		holds[me * NAMES] = truth[revision * NAMES];
		holds[me * NAMES + 1] = truth[revision * NAMES + 1];
		at[me] = revision;
		base[me] = revision;
		c = 1;
		do
		:: c <= CHANGES -> kept[me * CELLS + c] = 0; c++
		:: else -> break
		od;
		c = 0 }
	:: atomic { kind[me] == UPDATES -> apply_updates(me) }
	:: atomic { kind[me] == CONTENT -> apply_content(me) }
	:: atomic { crashes < CRASHES -> crash(me) }
	:: revision == CHANGES && at[me] == CHANGES && kind[me] == NOTHING -> break
	od
}
