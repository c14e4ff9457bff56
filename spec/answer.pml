/*
 * Whole answers: two routers, each relaying the answer of a request of its own
 * by reads that name request, holder and offset; two agent incarnations, the
 * holders, that may cut an answer short or crash; connections that go silent
 * for good. A reply that was sent may reach either router at any time, any
 * number of times, in any order, or never, also after its connection was
 * replaced. Two holders may answer the same request with different bytes.
 */
#ifndef LENGTH
#define LENGTH 3        /* bytes of an answer */
#endif
#define REQUESTS 2
#define HOLDERS  2

/* Outcomes told to the caller. */
#define O_OPEN       0
#define O_WHOLE      1
#define O_INCOMPLETE 2

#define R(h, r, o) (((h) * REQUESTS + (r)) * (LENGTH + 1) + (o))

bit  asked[HOLDERS * REQUESTS * (LENGTH + 1)];
bit  data[HOLDERS * REQUESTS * (LENGTH + 1)];   /* a reply with the byte at the offset was sent */
bit  end[HOLDERS * REQUESTS];                   /* a reply with the end marker was sent */
byte stop[HOLDERS * REQUESTS];                  /* 1 + the length at which the upstream broke off */
bit  broken[HOLDERS * REQUESTS];                /* a reply that says so was sent */
bit  alive[HOLDERS];
bit  silent[REQUESTS];                          /* the router's connection passes nothing on */
byte outcome[REQUESTS];

#define pass(h, r, o) \
	:: atomic { alive[h] && asked[R(h, r, o)] && !silent[r] && !data[R(h, r, o)] && \
		(stop[h * REQUESTS + r] == 0 || stop[h * REQUESTS + r] > (o) + 1) && (o) < LENGTH -> data[R(h, r, o)] = 1 }

#define close(h, r) \
	:: atomic { alive[h] && asked[R(h, r, LENGTH)] && !silent[r] && stop[h * REQUESTS + r] == 0 && !end[h * REQUESTS + r] -> end[h * REQUESTS + r] = 1 } \
	:: atomic { alive[h] && stop[h * REQUESTS + r] != 0 && !broken[h * REQUESTS + r] && !silent[r] && asked[R(h, r, stop[h * REQUESTS + r] - 1)] -> \
		broken[h * REQUESTS + r] = 1 } \
	:: atomic { alive[h] && stop[h * REQUESTS + r] == 0 && !end[h * REQUESTS + r] && !data[R(h, r, 0)] -> \
		stop[h * REQUESTS + r] = 1 } \
	:: atomic { alive[h] && stop[h * REQUESTS + r] == 0 && data[R(h, r, 0)] && !data[R(h, r, 1)] -> \
		stop[h * REQUESTS + r] = 2 }

proctype Agent(byte h) {
end_agent:
	do
	pass(h, 0, 0) pass(h, 0, 1) pass(h, 0, 2)
	pass(h, 1, 0) pass(h, 1, 1) pass(h, 1, 2)
#if LENGTH >= 6
	pass(h, 0, 3) pass(h, 0, 4) pass(h, 0, 5)
	pass(h, 1, 3) pass(h, 1, 4) pass(h, 1, 5)
#endif
	close(h, 0) close(h, 1)
	:: atomic { alive[h] && h == 0 -> alive[h] = 0; break }
	od
}

active proctype Network() {
	do
	:: atomic { !silent[0] -> silent[0] = 1; break }
	:: atomic { !silent[1] -> silent[1] = 1; break }
	:: break
	od
}

/* take delivers a byte of holder h, request q and offset o to the caller. */
inline take(h, q, o) {
	assert(q == r);                                 /* never another request's */
	assert(o == got);                               /* no byte lost or doubled */
	assert(got == 0 || first == h);                 /* one holder's bytes only */
	if :: got == 0 -> first = h :: else fi;
	got++
}

#ifdef NO_REQUEST
#define ofRequest(q) true
#else
#define ofRequest(q) (q == r)
#endif
#ifdef NO_OFFSET
#define atOffset(o) true
#else
#define atOffset(o) (o == got)
#endif
#ifdef NO_HOLDER
#define ofHolder(h) true
#else
#define ofHolder(h) (h == holder)
#endif

#define onData(h, q, o) \
	:: atomic { got < LENGTH && data[R(h, q, o)] && ofRequest(q) && ofHolder(h) && atOffset(o) -> take(h, q, o) }

#define finish(o) atomic { outcome[r] = o; got = 0; first = 0; holder = 0; goto done }

proctype Reader(byte r) {
	byte got, first, holder;
	do
	:: atomic { !asked[R(holder, r, got)] -> asked[R(holder, r, got)] = 1 }
	onData(0, 0, 0) onData(0, 0, 1) onData(0, 0, 2)
	onData(1, 0, 0) onData(1, 0, 1) onData(1, 0, 2)
	onData(0, 1, 0) onData(0, 1, 1) onData(0, 1, 2)
	onData(1, 1, 0) onData(1, 1, 1) onData(1, 1, 2)
#if LENGTH >= 6
	onData(0, 0, 3) onData(0, 0, 4) onData(0, 0, 5)
	onData(1, 0, 3) onData(1, 0, 4) onData(1, 0, 5)
	onData(0, 1, 3) onData(0, 1, 4) onData(0, 1, 5)
	onData(1, 1, 3) onData(1, 1, 4) onData(1, 1, 5)
#endif
	:: atomic { end[holder * REQUESTS + r] && got == LENGTH -> goto whole }
#ifdef NO_END_MARKER
	:: atomic { broken[holder * REQUESTS + r] -> goto whole }
#else
	:: atomic { broken[holder * REQUESTS + r] -> goto incomplete }
#endif
	:: atomic { !alive[holder] && holder == 0 && got == 0 -> holder = 1 }  /* nothing given yet: another holder may answer */
	:: atomic { !alive[holder] && got > 0 -> goto incomplete }
#ifndef NO_HEARTBEAT
	:: atomic { silent[r] -> silent[r] = 0 }        /* heartbeat failed: fresh connection, same offset */
#endif
	od;
whole:
	atomic {
		assert(got == LENGTH);                  /* only whole */
#ifdef REACH
		assert(REACH != O_WHOLE);
#endif
		finish(O_WHOLE)
	}
incomplete:
	atomic {
#ifdef REACH
		assert(REACH != O_INCOMPLETE);
#endif
		finish(O_INCOMPLETE)
	}
done:	skip
}

init {
	atomic {
		alive[0] = 1; alive[1] = 1;
		run Agent(0); run Agent(1); run Reader(0); run Reader(1)
	}
}

#ifdef LIVENESS
ltl ends { <> (outcome[0] != O_OPEN && outcome[1] != O_OPEN) }
#endif
