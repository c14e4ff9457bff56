/*
 * Outcomes of work that may not repeat: one operation, sent by its caller in
 * ATTEMPTS concurrent attempts, each through a router of its own; two agent
 * incarnations that may live at the same time; an upstream; the platform.
 *
 * A message that was sent may be delivered any number of times, at any time,
 * in any order, or never. Any process may pause at any point. A router that
 * crashes looks to the caller like one that never answers: may have run.
 *
 * MODE_KEY: the caller brings an Idempotency-Key only, and attempts meet in a
 * claim kept by the platform. Otherwise the caller brings ticket 0.
 * The names of the agent's transitions are those of decide/ticket.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef KEPT
#define KEPT 1          /* windows kept by a ledger */
#endif
#ifndef WINDOWS
#ifdef MODE_KEY
#define WINDOWS 1       /* full ledgers and passing windows are checked with tickets */
#else
#define WINDOWS 2       /* windows opened in one incarnation */
#endif
#endif
#define INCARNATIONS 2
#ifdef MODE_KEY
#define DRAWS   2       /* tickets that one attempt may draw */
#define TICKETS (ATTEMPTS * DRAWS)
#else
#define TICKETS 1
#endif
#define NONE 255

/* Phases of a ticket in a ledger. */
#define UNKNOWN  0
#define HELD     1
#define STARTED  2
#define ANSWERED 3
#define LOST     4
#define NOTRUN   5

/* Replies, as bits. */
#define R_NOTRUN   1
#define R_MAYBE    2
#define R_ANSWER   4
#define R_MISMATCH 8

/* Outcomes told to the caller. */
#define O_OPEN     0
#define O_ANSWERED 1
#define O_NOTRUN   2
#define O_MAYBE    3
#define O_REJECTED 4    /* same key or ticket, other body */

#define L(k, t) ((k) * TICKETS + (t))
#define M(a, t) ((a) * TICKETS + (t))

byte outcome[ATTEMPTS];
bit  body[ATTEMPTS];

/* Tickets. */
byte tinc[TICKETS];
byte twin[TICKETS];
byte tdigest[TICKETS];          /* 0: bound at first use, else 1 + body */

/* Network: everything that was ever sent. */
bit  submitted[ATTEMPTS * TICKETS];
bit  revoked[ATTEMPTS * TICKETS];
byte replies[ATTEMPTS * TICKETS];

/* Agents. */
bit  alive[INCARNATIONS];
byte window[INCARNATIONS];
byte sealed[INCARNATIONS];
byte phase[INCARNATIONS * TICKETS];
byte digest[INCARNATIONS * TICKETS];

/* Upstream: 1 call sent, 2 ran and answered, 3 ran and its answer was lost. */
byte call[INCARNATIONS * TICKETS];
byte runs;
bit  saidNotRun[TICKETS];       /* an attempt that sent the ticket was told not run */

/* Platform: one claim, and the last update of each attempt. */
byte claim = NONE;
byte claimVersion;
byte claimBody = NONE;
byte update[ATTEMPTS];           /* 0 none, 1 on its way, 2 made, 3 conflict */
byte updateTicket[ATTEMPTS];
byte updateExpected[ATTEMPTS];

#define passed(k, t) (twin[t] + KEPT <= window[k])

/* ---- The ledger: transitions of decide/ticket ---- */

/* Replies to an attempt that has ended reach nobody. */
inline reply(a, t, r) {
	if
	:: outcome[a] == O_OPEN -> replies[M(a, t)] = replies[M(a, t)] | (r)
	:: else
	fi
}

inline bindDigest(k, t, b) {
	if
	:: tdigest[t] != 0 -> digest[L(k, t)] = tdigest[t]
	:: else -> digest[L(k, t)] = 1 + (b)
	fi
}

inline tellPhase(k, a, t) {
	if
	:: phase[L(k, t)] == NOTRUN -> reply(a, t, R_NOTRUN);
		printf("STEP Submit %d %d %d NotRun\n", k, t, body[a])
	:: phase[L(k, t)] != NOTRUN ->
		printf("STEP Submit %d %d %d Known\n", k, t, body[a]);
		if
		:: phase[L(k, t)] == ANSWERED -> reply(a, t, R_ANSWER)
		:: phase[L(k, t)] == LOST ->
#ifdef LOST_NOT_RUN
			reply(a, t, R_NOTRUN)
#else
			reply(a, t, R_MAYBE)
#endif
		:: else
#ifdef START_TWICE
			; if
			:: phase[L(k, t)] == STARTED -> phase[L(k, t)] = HELD
			:: else
			fi
#endif
		fi
	fi
}

inline Submit(k, a, t) {
	if
#ifndef NO_INCARNATION
	:: tinc[t] != k ->
#ifdef RESTART_NOT_RUN
		reply(a, t, R_NOTRUN);
#else
		reply(a, t, R_MAYBE);
#endif
		printf("STEP Submit %d %d %d MayHaveRun\n", k, t, body[a])
#endif
#ifndef NO_WINDOW
	:: tinc[t] == k && passed(k, t) -> reply(a, t, R_MAYBE);
		printf("STEP Submit %d %d %d MayHaveRun\n", k, t, body[a])
#endif
	:: else ->
		if
#ifndef NO_DIGEST
		:: (tdigest[t] != 0 && tdigest[t] != 1 + body[a]) ||
		   (phase[L(k, t)] != UNKNOWN && digest[L(k, t)] != 0 && digest[L(k, t)] != 1 + body[a]) ->
			reply(a, t, R_MISMATCH);
			printf("STEP Submit %d %d %d DigestMismatch\n", k, t, body[a])
#endif
		:: else ->
			if
			:: phase[L(k, t)] == UNKNOWN && twin[t] > sealed[k] ->
				phase[L(k, t)] = HELD;
				bindDigest(k, t, body[a]);
				printf("STEP Submit %d %d %d Hold\n", k, t, body[a])
			:: phase[L(k, t)] == UNKNOWN && WINDOWS > 1 ->  /* no record is free */
				printf("STEP Fill %d 0 0 -\n", k);
#ifndef NO_SEAL
				sealed[k] = window[k];
#endif
				reply(a, t, R_NOTRUN);
				printf("STEP Submit %d %d %d Full\n", k, t, body[a])
			:: else -> tellPhase(k, a, t)
			fi
		fi
	fi
}

inline tombstone(k, t) {
#ifdef NO_TOMBSTONE
	phase[L(k, t)] = UNKNOWN;
#else
	phase[L(k, t)] = NOTRUN
#endif
}

inline Start(k, t) {
	if
	:: phase[L(k, t)] == HELD ->
		phase[L(k, t)] = STARTED;
		call[L(k, t)] = 1;
		printf("STEP Start %d %d 0 true\n", k, t)
	:: else -> printf("STEP Start %d %d 0 false\n", k, t)
	fi
}

inline tellRefused(k, a, t) {
	if
	:: submitted[M(a, t)] && digest[L(k, t)] == 1 + body[a] -> reply(a, t, R_NOTRUN)
	:: else
	fi
}

inline Refuse(k, t) {
	if
	:: phase[L(k, t)] == HELD ->
		tombstone(k, t);
		printf("STEP Refuse %d %d 0 true\n", k, t);
		/* The refusal answers every attempt that is waiting here. */
		tellRefused(k, 0, t); tellRefused(k, 1, t)
#if ATTEMPTS == 3
		; tellRefused(k, 2, t)
#endif
	:: else
	fi
}

inline Revoke(k, a, t) {
	if
	:: tinc[t] != k || passed(k, t) -> reply(a, t, R_MAYBE);
		printf("STEP Revoke %d %d 0 MayHaveRun\n", k, t)
	:: else ->
		if
		:: phase[L(k, t)] == UNKNOWN ->
#ifndef REVOKE_UNKNOWN
			phase[L(k, t)] = NOTRUN;
			digest[L(k, t)] = tdigest[t];
#endif
			reply(a, t, R_NOTRUN);
			printf("STEP Revoke %d %d 0 NotRun\n", k, t)
		:: phase[L(k, t)] == HELD ->
#ifndef REVOKE_HELD
			phase[L(k, t)] = NOTRUN;
#endif
			reply(a, t, R_NOTRUN);
			printf("STEP Revoke %d %d 0 NotRun\n", k, t)
		:: phase[L(k, t)] == NOTRUN -> reply(a, t, R_NOTRUN);
			printf("STEP Revoke %d %d 0 NotRun\n", k, t)
		:: else ->
#ifdef REVOKE_STARTED
			reply(a, t, R_NOTRUN);
#endif
			printf("STEP Revoke %d %d 0 Known\n", k, t)
		fi
	fi
}

inline Finish(k, t) {
	if
	:: call[L(k, t)] >= 2 && phase[L(k, t)] == STARTED ->
		if
		:: call[L(k, t)] == 2 -> phase[L(k, t)] = ANSWERED;
			printf("STEP Finish %d %d 0 Answered\n", k, t)
		:: else -> phase[L(k, t)] = LOST;
			printf("STEP Finish %d %d 0 Lost\n", k, t)
		fi
	:: else
	fi
}

inline Advance(k) {
	if
	:: window[k] < WINDOWS ->
		window[k]++;
		printf("STEP Advance %d 0 0 -\n", k);
		for (j : 0 .. TICKETS - 1) {
			if
			:: tinc[j] == k && passed(k, j) ->
				phase[L(k, j)] = UNKNOWN; digest[L(k, j)] = 0
			:: else
			fi
		}
		j = 0
	:: else
	fi
}

inline Evict(k, t) {
	if
	:: phase[L(k, t)] >= STARTED -> phase[L(k, t)] = UNKNOWN; digest[L(k, t)] = 0;
		printf("STEP Evict %d %d 0 -\n", k, t)
	:: else
	fi
}

#define onMessages(a, t) \
	:: atomic { alive[k] && submitted[M(a, t)] -> Submit(k, a, t) } \
	:: atomic { alive[k] && revoked[M(a, t)] -> Revoke(k, a, t) }

#ifdef EVICT
#define onEvict(t) :: atomic { alive[k] && phase[L(k, t)] >= STARTED -> Evict(k, t) }
#else
#define onEvict(t)
#endif

#define onTicket(t) \
	:: atomic { alive[k] && phase[L(k, t)] == HELD -> Start(k, t) } \
	:: atomic { alive[k] && phase[L(k, t)] == HELD -> Refuse(k, t) } \
	:: atomic { alive[k] && phase[L(k, t)] == STARTED && call[L(k, t)] >= 2 -> Finish(k, t) } \
	onEvict(t)

#ifdef MODE_KEY
#define OTHERS(what) what(1) what(2) what(3)
#define OTHER_MESSAGES \
	onMessages(0, 1) onMessages(0, 2) onMessages(0, 3) \
	onMessages(1, 1) onMessages(1, 2) onMessages(1, 3)
#else
#define OTHERS(what)
#define OTHER_MESSAGES
#endif
#if ATTEMPTS == 3
#ifdef MODE_KEY
#error three attempts are modelled with a ticket only
#endif
#define THIRD_ATTEMPT onMessages(2, 0)
#else
#define THIRD_ATTEMPT
#endif

proctype Agent(byte k) {
	byte j;
end:	do
	onMessages(0, 0) onMessages(1, 0) THIRD_ATTEMPT OTHER_MESSAGES
	onTicket(0) OTHERS(onTicket)
	:: atomic { alive[k] && window[k] < WINDOWS -> Advance(k) }
	:: atomic { alive[k] && k == 0 ->       /* the other one takes its place; its calls go on */
		alive[k] = 0; printf("STEP Crash %d 0 0 -\n", k); break }
	od
}

inline execute(i, t) {
	runs++;
	assert(runs <= 1);                      /* at most one run per operation */
	assert(!saidNotRun[t]);                 /* not run is final */
#ifdef MODE_KEY
	assert(claimBody == tdigest[t] - 1);    /* a key belongs to one body */
#endif
	if :: call[i] = 2 :: call[i] = 3 fi
}

#define onCall(t) \
	:: atomic { call[L(0, t)] == 1 -> execute(L(0, t), t) } \
	:: atomic { call[L(1, t)] == 1 -> execute(L(1, t), t) }

active proctype Upstream() {
end:	do
	onCall(0) OTHERS(onCall)
#ifdef TRANSPORT_RETRY
	:: atomic { call[0] == 3 -> execute(0, 0) }
#endif
	od
}

#ifdef MODE_KEY
#if defined(UNCONDITIONAL_CREATE)
#define unconditional(expected) (expected == 0)
#elif defined(UNCONDITIONAL_REBIND)
#define unconditional(expected) (expected != 0)
#else
#define unconditional(expected) false
#endif

inline applyUpdate(a) {
	if
	:: claimVersion == updateExpected[a] || unconditional(updateExpected[a]) ->
		claim = updateTicket[a]; claimVersion++; update[a] = 2;
		if
		:: claimBody == NONE -> claimBody = body[a]
		:: else
		fi
	:: else -> update[a] = 3
	fi
}

active proctype Platform() {
end:	do
	:: atomic { update[0] == 1 -> applyUpdate(0) }
	:: atomic { update[1] == 1 -> applyUpdate(1) }
	od
}
#endif

/* ---- A router's work for one attempt ---- */

inline finish(o) {
	atomic {
		outcome[a] = o;
		if
		:: o == O_NOTRUN ->
			for (j : 0 .. TICKETS - 1) {
				if
				:: submitted[M(a, j)] ->
					saidNotRun[j] = 1;
					assert(call[L(0, j)] == 0 && call[L(1, j)] == 0)        /* not run is true */
				:: else
				fi
			}
#ifndef MODE_KEY
			saidNotRun[0] = 1;              /* of the ticket, whichever attempt sent it */
			assert(runs == 0);
#endif
		:: else
		fi;
#ifdef REACH
		assert(o != REACH);
#endif
		for (j : 0 .. TICKETS - 1) { replies[M(a, j)] = 0 }
		t = 0; j = 0; fresh = 0; rebound = 0; draws = 0; mine = NONE; version = 0;
#ifdef MODE_KEY
		tries = 0;
#endif
		goto done
	}
}

inline draw() {
	atomic {
		t = a * (TICKETS / ATTEMPTS) + draws;
		draws++;
#ifdef ANY_HOST
		if :: tinc[t] = 0 :: tinc[t] = 1 fi;
#else
		tinc[t] = a;                            /* the routers disagree on the host list */
#endif
		twin[t] = window[tinc[t]];
		tdigest[t] = 1 + body[a];
		printf("STEP Draw %d %d %d -\n", tinc[t], t, body[a])
	}
}

#ifdef NO_ECHO
#define seen (replies[M(a, t)] | replies[M(a, a * 2)] | replies[M(a, (1 - a) * 2)])
#else
#define seen replies[M(a, t)]
#endif

/* Reads replies of any age; a time-out may come at any moment. */
inline onAnswer() {
	/* an answer goes only to the request whose body ran */
	assert(passed(tinc[t], t) || digest[L(tinc[t], t)] == 1 + body[a]);
	finish(O_ANSWERED)
}
#ifdef REBIND_MAYBE
#define onMaybe goto refused
#else
#define onMaybe finish(O_MAYBE)
#endif
#ifdef NO_TIMEOUT
#define silence false
#else
#define silence true    /* nothing came in time, or the router crashed */
#endif
#define awaitReply(next) \
	if \
	:: atomic { seen & R_ANSWER -> onAnswer() } \
	:: seen & R_NOTRUN -> goto refused \
	:: seen & R_MAYBE -> onMaybe \
	:: seen & R_MISMATCH -> finish(O_REJECTED) \
	:: silence -> next \
	fi

proctype Attempt(byte a) {
	byte t, j, draws, mine = NONE, version;
	bit  fresh, rebound;
#ifdef MODE_KEY
	byte tries;
read:	if
	:: finish(O_NOTRUN)                             /* platform out: nothing sent on the claim */
	:: atomic { claim != NONE && claim == mine -> t = mine; version = claimVersion; fresh = 1; goto submit }
	:: atomic { claim != NONE && claim != mine -> t = claim; version = claimVersion; fresh = 0 };
		if
#ifndef NO_CLAIM_DIGEST
		:: claimBody != body[a] -> finish(O_REJECTED)
#endif
		:: else -> goto submit
		fi
	:: atomic { claim == NONE -> version = 0 };
		if
		:: mine == NONE -> draw(); mine = t
		:: else -> t = mine
		fi;
		goto put
	fi;
put:	atomic { update[a] = 1; updateTicket[a] = mine; updateExpected[a] = version; tries++ };
	if
	:: atomic { update[a] == 2 -> t = mine; version = updateExpected[a] + 1; fresh = 1; goto submit }
	:: update[a] == 3 -> skip
	:: true ->                                      /* the platform's answer was lost */
#ifdef NO_READBACK
		atomic { t = mine; fresh = 1; goto submit }
#else
		skip
#endif
	fi;
	if
	:: tries < 2 -> goto read
	:: else -> finish(O_NOTRUN)
	fi;
#endif
submit:	if
	:: atomic { submitted[M(a, t)] = 1 }
	:: true ->                                      /* could not connect: never sent */
#ifdef LOCAL_NOT_RUN
		finish(O_NOTRUN)
#elif defined(MODE_KEY)
		if
		:: fresh -> finish(O_NOTRUN)
		:: else -> finish(O_MAYBE)
		fi
#else
		finish(O_MAYBE)
#endif
	fi;
	awaitReply(goto doubt);
doubt:
#ifdef TIMEOUT_NOT_RUN
	finish(O_NOTRUN);
#endif
	revoked[M(a, t)] = 1;
	awaitReply(goto unknown);
unknown:
	finish(O_MAYBE);
refused:
#ifdef MODE_KEY
	if
	:: !rebound && draws < DRAWS ->
		atomic { rebound = 1; draw(); mine = t; goto put }
	:: else -> skip
	fi;
#endif
	finish(O_NOTRUN);
done:	skip
}

init {
	atomic {
		alive[0] = 1; alive[1] = 1;
		window[0] = 1; window[1] = 1;
#ifndef MODE_KEY
		tinc[0] = 0; twin[0] = 1;
#endif
		if :: body[1] = 0 :: body[1] = 1 fi;
		run Agent(0); run Agent(1);
		run Attempt(0); run Attempt(1);
#if ATTEMPTS == 3
		run Attempt(2)
#endif
	}
}

/* Every request ends in an outcome, under weak fairness. */
#ifdef LIVENESS
#if ATTEMPTS == 3
ltl ends { <> (outcome[0] != O_OPEN && outcome[1] != O_OPEN && outcome[2] != O_OPEN) }
#else
ltl ends { <> (outcome[0] != O_OPEN && outcome[1] != O_OPEN) }
#endif
#endif
