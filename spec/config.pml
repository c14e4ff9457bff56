/*
 * Versions of the configuration: a platform with one conditionally updated
 * object, two operators whose answers may be lost and whose updates may be
 * delayed, and processes that adopt versions from the platform or from each
 * other, pause at any step, crash and start with empty memory. The platform
 * may be out for any time.
 *
 * Checked: a process never goes back to an earlier version; a version that was
 * in force everywhere is not followed by an earlier one anywhere, also at
 * processes that start anew; each version is made from the one before it; what
 * an operator is told of its change is true for ever.
 */
#ifndef PROCESSES
#define PROCESSES 3
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define OPERATORS 2
#define VERSIONS  4     /* the first one and one for each operator, and 0 for none */
#define NONE      9     /* no update is on its way */

/* What an operator is told. */
#define T_OPEN     0
#define T_MADE     1
#define T_NOT_MADE 2
#define T_UNKNOWN  3

byte current = 1;               /* version of the platform's object */
byte maker[VERSIONS];           /* 1 + the operator that made the version */
byte basis[VERSIONS];           /* the version that its maker had read */
bit  out;                       /* the platform does not answer */

byte inForce[PROCESSES];
byte computed[PROCESSES];       /* version of an update that the process is about to send; 0: none */
byte crashes;
byte everywhere;                /* greatest version that was in force at all processes at once */
byte delayed[OPERATORS] = NONE; /* base of an update that may still arrive */
byte told[OPERATORS];

byte least;
byte i;

inline note() {
	least = VERSIONS;
	i = 0;
	do
	:: i < PROCESSES ->
		if
		:: inForce[i] < least -> least = inForce[i]
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: least > everywhere -> everywhere = least
	:: else
	fi;
	least = 0;
	i = 0
}

/* Puts a version in force. */
inline adopt(p, v) {
	if
#ifdef NO_GREATER
	:: v != inForce[p] ->
#else
	:: v > inForce[p] ->
#endif
		assert(v > inForce[p]);
		assert(v >= everywhere);
		inForce[p] = v
	:: else
	fi;
	note()
}

/* Makes an operator's conditional update. */
inline apply(o, base) {
#ifdef UNCONDITIONAL
	current++;
	maker[current] = o + 1;
	basis[current] = base;
	assert(basis[current] == current - 1)
#else
	if
	:: current == base ->
		current++;
		maker[current] = o + 1;
		basis[current] = base;
		assert(basis[current] == current - 1)
	:: else
	fi
#endif
}

inline made(o, found) {
	found = 0;
	if
	:: maker[2] == o + 1 || maker[3] == o + 1 -> found = 1
	:: else
	fi
}

proctype Operator(byte o) {
	byte base;
	bit found;
	atomic { !out -> base = current };
	/* the update is sent; what becomes of it is not known until an answer */
	delayed[o] = base;
	do
	:: atomic { !out && delayed[o] != NONE -> /* it is answered */
		if
		:: current == base -> apply(o, base); told[o] = T_MADE
		:: else ->
#ifdef UNCONDITIONAL
			apply(o, base); told[o] = T_MADE
#else
			/* a conflict: the history tells whether an earlier attempt took effect */
			made(o, found);
#ifdef NO_CHANGE_ID
			found = 0;
#endif
			if
			:: found -> told[o] = T_MADE
			:: else -> told[o] = T_NOT_MADE
			fi
#endif
		fi;
		delayed[o] = NONE;
		break }
#ifdef SETTLE_BY_READ
	:: atomic { !out && delayed[o] != NONE && current == base -> /* no answer: it reads, and sees nothing of its own */
		told[o] = T_NOT_MADE;
		break }
#endif
	:: atomic { told[o] = T_UNKNOWN; break }
	od
}

/* An update may arrive without its answer, or long after it was given up. */
active proctype Network() {
	byte o;
end_network:
	do
	:: atomic { !out && delayed[0] != NONE && current == delayed[0] -> o = 0; apply(o, delayed[0]) }
	:: atomic { !out && delayed[1] != NONE && current == delayed[1] -> o = 1; apply(o, delayed[1]) }
	:: atomic { out = 1 - out }
	od
}

proctype Process(byte p) {
	byte q;
end_process:
	do
	:: atomic { !out && inForce[p] != current -> adopt(p, current) }
	:: atomic { computed[p] == 0 && inForce[p] != 0 -> computed[p] = inForce[p] }
	:: atomic { computed[p] != 0 -> /* it sends what it computed, perhaps long ago */
		q = 0;
		do
		:: q < PROCESSES - 1 -> q++
		:: break
		od;
		if
#ifdef NO_STALE_CHECK
		:: q != p -> adopt(q, computed[p])
#else
		:: q != p && inForce[p] == computed[p] -> adopt(q, computed[p])
#endif
		:: else
		fi;
		computed[p] = 0;
		q = 0 }
	:: atomic { crashes < CRASHES && inForce[p] != 0 -> crashes++; inForce[p] = 0; computed[p] = 0 }
	od
}

init {
	atomic {
		maker[1] = 0;
		byte k = 0;
		do
		:: k < PROCESSES -> run Process(k); k++
		:: else -> break
		od;
		run Operator(0);
		run Operator(1)
	}
}

#define MADE(o) (maker[2] == (o) + 1 || maker[3] == (o) + 1)

/* What was told is true, now and later. */
active proctype Told() {
end_told:
	do
	:: atomic { told[0] == T_MADE && !MADE(0) -> assert(0) }
	:: atomic { told[1] == T_MADE && !MADE(1) -> assert(0) }
	:: atomic { told[0] == T_NOT_MADE && MADE(0) -> assert(0) }
	:: atomic { told[1] == T_NOT_MADE && MADE(1) -> assert(0) }
#ifdef REACH
	:: atomic { everywhere == REACH -> assert(0) }
#endif
	od
}
