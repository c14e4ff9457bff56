/*
 * Copies of a kind of the store's objects at routers that watch the store, hand
 * changes on to each other, or hand over whole contents. Answers are late: they
 * are applied after any other step. Routers crash and start with empty memory.
 * The store may return from an older copy: it begins a new era, and gives the
 * revisions after those of the copy out again for other changes.
 *
 * Checked: a copy at a position (era, revision) holds exactly what the store held
 * at it; within an incarnation the position never falls.
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
#ifndef RESTORES
#define RESTORES 0     /* returns of the store from a copy */
#endif
#define NAMES 2
#define CELLS (CHANGES + 1)
#define ERAS (RESTORES + 1)
/* A position and a change are identified by one number: of eras, the first is 0. */
#define CELL(e, r) ((e) * CELLS + (r))
#define REVISION(id) ((id) % CELLS)

/* Kinds of answers on their way. */
#define NOTHING  0
#define UPDATES  1     /* changes after a revision, by a watch or from a peer */
#define CONTENT  2     /* a whole content, from the store or from a peer */

byte era;                          /* of the store */
byte revision;                     /* of the store */
byte changed[ERAS * CELLS];        /* name that the change was about */
bit  removed[ERAS * CELLS];
byte writer[ERAS * CELLS];         /* the change itself: of the era in which it was first made */
byte truth[ERAS * CELLS * NAMES];  /* what the store held: the change that wrote the object; 0: none */

byte at[ROUTERS];                  /* revision of the copy; 0: no copy */
byte era_at[ROUTERS];              /* its era */
byte holds[ROUTERS * NAMES];
byte base[ROUTERS];                /* changes after it, of the copy's era, are kept for others */
byte kept[ROUTERS * CELLS];        /* revision of the copy with the change; 0: not kept */

byte kind[ROUTERS];                /* of the answer on its way to a router */
byte from[ROUTERS];                /* revision that it follows */
byte from_era[ROUTERS];
byte to[ROUTERS];                  /* revision that it leads to */
byte to_era[ROUTERS];
bit  part[ROUTERS * CELLS];        /* changes in it, of the era that it leads to */
byte whole[ROUTERS * NAMES];       /* content in it */

byte crashes;
byte c;
byte n;

inline check(p) {
	n = 0;
	do
	:: n < NAMES ->
		assert(at[p] == 0 || holds[p * NAMES + n] == truth[CELL(era_at[p], at[p]) * NAMES + n]);
		n++
	:: else -> break
	od;
	n = 0
}

inline forget_answer(p) {
	kind[p] = NOTHING;
	from[p] = 0;
	from_era[p] = 0;
	to[p] = 0;
	to_era[p] = 0;
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
	changed[CELL(era, revision)] = name;
	removed[CELL(era, revision)] = gone;
	writer[CELL(era, revision)] = CELL(era, revision);
	truth[CELL(era, revision) * NAMES] = truth[CELL(era, revision - 1) * NAMES];
	truth[CELL(era, revision) * NAMES + 1] = truth[CELL(era, revision - 1) * NAMES + 1];
	if
	:: gone -> truth[CELL(era, revision) * NAMES + name] = 0
	:: else -> truth[CELL(era, revision) * NAMES + name] = CELL(era, revision)
	fi
}

/* The store returns from its copy of the time at which it had the revision. The
 * copy has the history up to there. */
inline restore(copied) {
	c = 0;
	do
	:: c <= copied ->
		changed[CELL(era + 1, c)] = changed[CELL(era, c)];
		removed[CELL(era + 1, c)] = removed[CELL(era, c)];
		writer[CELL(era + 1, c)] = writer[CELL(era, c)];
		truth[CELL(era + 1, c) * NAMES] = truth[CELL(era, c) * NAMES];
		truth[CELL(era + 1, c) * NAMES + 1] = truth[CELL(era, c) * NAMES + 1];
		c++
	:: else -> break
	od;
	c = 0;
	era++;
	revision = copied
}

/* A watch is answered; its answer is on its way. */
inline answer_watch(p) {
	kind[p] = UPDATES;
	from[p] = at[p];
	from_era[p] = era_at[p];
	to[p] = revision;
	to_era[p] = era;
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
	from_era[p] = era_at[p];
	to[p] = at[q];
	to_era[p] = era_at[q];
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
	:: from[p] == at[p] && from_era[p] == era_at[p] ->
#endif
		c = 1;
		do
		:: c <= CHANGES ->
			if
			:: part[p * CELLS + c] ->
				if
				:: removed[CELL(to_era[p], c)] -> holds[p * NAMES + changed[CELL(to_era[p], c)]] = 0
				:: !removed[CELL(to_era[p], c)] && c >= REVISION(holds[p * NAMES + changed[CELL(to_era[p], c)]]) ->
					holds[p * NAMES + changed[CELL(to_era[p], c)]] = writer[CELL(to_era[p], c)]
				:: else
				fi;
				kept[p * CELLS + c] = to[p]
			:: else
			fi;
			c++
		:: else -> break
		od;
		c = 0;
		assert(CELL(to_era[p], to[p]) >= CELL(era_at[p], at[p]));
		at[p] = to[p];
		era_at[p] = to_era[p]
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
#ifdef NO_ERA
	:: to[p] > at[p] ->
#else
	:: at[p] == 0 || CELL(to_era[p], to[p]) > CELL(era_at[p], at[p]) ->
#endif
#endif
		assert(at[p] == 0 || CELL(to_era[p], to[p]) >= CELL(era_at[p], at[p]));
		holds[p * NAMES] = whole[p * NAMES];
		holds[p * NAMES + 1] = whole[p * NAMES + 1];
		at[p] = to[p];
		era_at[p] = to_era[p];
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
	era_at[p] = 0;
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
	:: atomic { era + 1 < ERAS && revision > 0 ->
		if
		:: restore(revision)
		:: revision > 1 -> restore(revision - 1)
		:: revision > 2 -> restore(revision - 2)
		fi }
	:: revision == CHANGES && era + 1 == ERAS -> break
	od
}

/* Whether the store has something newer than the copy of p. */
#define BEHIND(p) (CELL(era, revision) > CELL(era_at[p], at[p]))

#ifdef DIGEST_OF_REVISIONS
#define SAME(x, y) (REVISION(x) == REVISION(y))
#else
#define SAME(x, y) ((x) == (y))
#endif

/* p takes the whole content of the store. */
inline take_list(p) {
	holds[p * NAMES] = truth[CELL(era, revision) * NAMES];
	holds[p * NAMES + 1] = truth[CELL(era, revision) * NAMES + 1];
	at[p] = revision;
	era_at[p] = era;
	base[p] = revision;
	c = 1;
	do
	:: c <= CHANGES -> kept[p * CELLS + c] = 0; c++
	:: else -> break
	od;
	c = 0
}

/* p moves to the position of q, which has the same content in a newer era. */
inline move(p, q) {
	at[p] = at[q];
	era_at[p] = era_at[q];
	base[p] = at[q];
	c = 1;
	do
	:: c <= CHANGES -> kept[p * CELLS + c] = 0; c++
	:: else -> break
	od;
	c = 0;
	check(p)
}

active [ROUTERS] proctype router() {
	byte me = _pid - 1;
	byte peer;
	do
#ifdef WATCH_ACROSS_ERAS
	:: atomic { kind[me] == NOTHING && at[me] != 0 && revision > at[me] -> answer_watch(me) }
#else
	:: atomic { kind[me] == NOTHING && at[me] != 0 && era_at[me] == era && revision > at[me] -> answer_watch(me) }
#endif
	:: atomic { kind[me] == NOTHING && revision > 0 ->
		kind[me] = CONTENT;
		to[me] = revision;
		to_era[me] = era;
		whole[me * NAMES] = truth[CELL(era, revision) * NAMES];
		whole[me * NAMES + 1] = truth[CELL(era, revision) * NAMES + 1] }
	:: atomic { kind[me] == NOTHING ->
		peer = (me + 1) % ROUTERS;
		if
#ifdef CHANGES_ACROSS_ERAS
		:: at[me] != 0 && at[peer] > at[me] && at[me] >= base[peer] -> answer_changes(me, peer)
#else
		:: at[me] != 0 && era_at[me] == era_at[peer] && at[peer] > at[me] && at[me] >= base[peer] -> answer_changes(me, peer)
#endif
		:: at[peer] != 0 ->
			kind[me] = CONTENT;
			to[me] = at[peer];
			to_era[me] = era_at[peer];
			whole[me * NAMES] = holds[peer * NAMES];
			whole[me * NAMES + 1] = holds[peer * NAMES + 1]
		:: at[me] != 0 && era_at[peer] > era_at[me] &&
			SAME(holds[me * NAMES], holds[peer * NAMES]) && SAME(holds[me * NAMES + 1], holds[peer * NAMES + 1]) ->
			move(me, peer)
		:: else
		fi;
		peer = 0 }
	/* While an answer is on its way, the other way of learning may overtake it. */
	:: atomic { kind[me] == UPDATES && BEHIND(me) ->
		if
		:: apply_updates(me)
		:: take_list(me)
		fi }
	:: atomic { kind[me] == CONTENT && at[me] != 0 && BEHIND(me) -> take_list(me) }
	:: atomic { kind[me] == UPDATES -> apply_updates(me) }
	:: atomic { kind[me] == CONTENT -> apply_content(me) }
	:: atomic { crashes < CRASHES -> crash(me) }
	:: revision == CHANGES && era + 1 == ERAS && era_at[me] == era && at[me] == CHANGES && kind[me] == NOTHING -> break
	od
}
