/*
 * One resumable stream at one router: an attempt at an upstream, a standby
 * attempt beside it while the upstream is silent, and the attempts after it.
 * Upstreams send events one by one; each may stop sending for good, end the
 * stream, reset it, or end it in order inside an event. Upstream 2 is of another
 * version. The deadline may pass at any time.
 */
#ifndef EVENTS
#define EVENTS 2
#endif
#ifndef UPSTREAMS
#define UPSTREAMS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2      /* most attempts of one request */
#endif
#define NONE UPSTREAMS

/* Outcomes told to the caller. */
#define O_OPEN  0
#define O_WHOLE 1
#define O_CUT   2

/* How the answer of an upstream has ended. */
#define E_OPEN       0
#define E_WHOLE      1  /* behind the last event */
#define E_INCOMPLETE 2  /* in order, inside an event */
#define E_RESET      3

bit  tried[UPSTREAMS + 1];
bit  serving[UPSTREAMS + 1];
byte from[UPSTREAMS + 1];       /* events that the attempt does not ask for */
byte sent[UPSTREAMS + 1];       /* events sent, from included */
byte ended[UPSTREAMS + 1];

byte attempts;
byte delivered;                 /* events delivered to the caller */
byte bound;                     /* 1 + the version of the first event; 0: none yet */
byte outcome;

#define version(u) ((u) == 2)

#ifdef NO_VERSION
#define allows(u) true
#else
#define allows(u) (bound == 0 || bound == 1 + version(u))
#endif

#ifdef NO_LIMIT
#define mayTry(u) (!tried[u] && allows(u))
#else
#define mayTry(u) (attempts < ATTEMPTS && !tried[u] && allows(u))
#endif

#ifdef FROM_START
#define place 0
#else
#define place delivered
#endif

#ifdef END_IS_WHOLE
#define isWhole(u) (ended[u] == E_WHOLE || ended[u] == E_INCOMPLETE)
#else
#define isWhole(u) (ended[u] == E_WHOLE)
#endif
#define isBroken(u) (ended[u] != E_OPEN && !isWhole(u))

proctype Upstream(byte u) {
end_upstream:
	do
	:: atomic { serving[u] && ended[u] == E_OPEN && sent[u] < EVENTS -> sent[u]++ }
	:: atomic { serving[u] && ended[u] == E_OPEN && sent[u] == EVENTS -> ended[u] = E_WHOLE }
	:: atomic { serving[u] && ended[u] == E_OPEN && sent[u] < EVENTS -> ended[u] = E_INCOMPLETE }
	:: atomic { serving[u] && ended[u] == E_OPEN -> ended[u] = E_RESET }
	:: atomic { serving[u] && ended[u] == E_OPEN -> break }         /* silent for good */
	od
}

inline begin(u) {
	tried[u] = 1;
	attempts++;
	assert(attempts <= ATTEMPTS);
	from[u] = place;
	sent[u] = place;
	serving[u] = 1
}

/* cancel ends an attempt; what its upstream still sends is dropped. */
inline cancel(u) {
	serving[u] = 0;
	u = NONE
}

/* choose sets next to an upstream that may be tried; it is enabled if there is one. */
#define canChoose (mayTry(0) || mayTry(1) || mayTry(2))
inline choose() {
	if
	:: mayTry(0) -> next = 0
	:: mayTry(1) -> next = 1
	:: mayTry(2) -> next = 2
	fi
}

active proctype Router() {
	byte main = NONE, standby = NONE, next = NONE;
	byte reading;           /* events of main that were read, from included */
	atomic {
		run Upstream(0); run Upstream(1); run Upstream(2);
		choose(); main = next; begin(main); reading = from[main]
	}
	do
	:: atomic { outcome == O_OPEN && main != NONE && reading < sent[main] ->    /* deliver the next event */
#ifndef KEEP_STANDBY
		if :: standby != NONE -> cancel(standby) :: else fi;
#endif
		assert(reading == delivered);           /* none missing, none twice */
		assert(bound == 0 || bound == 1 + version(main));
		bound = 1 + version(main);
		reading++;
		delivered++ }
	:: atomic { outcome == O_OPEN && main != NONE && reading == sent[main] && isWhole(main) ->
		assert(delivered == EVENTS);            /* what ends as whole is whole */
		outcome = O_WHOLE; break }
	:: atomic { outcome == O_OPEN && main != NONE && reading == sent[main] && isBroken(main) ->
		cancel(main) }
	:: atomic { outcome == O_OPEN && main == NONE && standby == NONE && canChoose ->    /* retry */
		choose(); main = next; begin(main); reading = from[main] }
	:: atomic { outcome == O_OPEN && main == NONE && standby == NONE && !canChoose ->
		outcome = O_CUT; break }
	:: atomic { outcome == O_OPEN && main != NONE && reading == sent[main] && ended[main] == E_OPEN &&
		standby == NONE && canChoose ->         /* main is silent */
		choose(); standby = next; begin(standby) }
	:: atomic { outcome == O_OPEN && standby != NONE &&
		(sent[standby] > from[standby] || isWhole(standby)) ->  /* it has something to deliver */
		if :: main != NONE -> cancel(main) :: else fi;
		main = standby; standby = NONE; reading = from[main] }
	:: atomic { outcome == O_OPEN && standby != NONE && sent[standby] == from[standby] && isBroken(standby) ->
		cancel(standby) }
#ifndef NO_DEADLINE
	:: atomic { outcome == O_OPEN -> outcome = O_CUT; break }
#endif
	od
}

#ifdef REACH
never { do :: assert(!(outcome == REACH)) od }
#endif

#ifdef LIVENESS
ltl ends { <> (outcome != O_OPEN) }
#endif
