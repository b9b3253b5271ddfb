/*
 * What a host may believe of the age of its settings: packages feed (Age,
 * Settings) and peers (Proof).
 *
 * The store holds a revision, which changes once, when a key is withdrawn.
 * Two hosts read it; a call is sent, read by the store and answered at any
 * later moments, or never. Hosts tell each other their revision, its age as
 * they send, and which heartbeat of the other they heard last; a heartbeat is
 * delivered late, any number of times, or never. A host that hears one takes
 * the other's proof to hold as of the sending of its own heartbeat that it
 * answers, less the age: so no delay can make a proof younger.
 *
 * Checked by assertions: no host believes that the old revision was the newest
 * at a moment after the change (YOUNG), and its revision never goes back
 * (BACK). With both, a withdrawn key is taken for no longer than the age up
 * to which settings are trusted.
 *
 * Each MUT_ symbol takes one guard away; spec/age.mutations lists them.
 */

#define END 2             /* ticks of time */
#define NEVER 255

byte now = 0;
byte changed = NEVER;     /* when the revision changed at the store */

/* What each host believes. */
bool known[2], rev[2];
byte proven[2];

/* Each host's call to the store. */
bool c_on[2], c_read[2], c_rev[2];
byte c_sent[2];

/* The newest heartbeat of each host, and the sending of the other's that it heard. */
bool m_on[2], m_rev[2];
byte m_age[2], m_sent[2], m_echo[2];
byte heard[2] = NEVER;

/* Host i learns that revision r was the newest at a moment. */
inline learn(i, r, moment) {
	if
	:: known[i] && rev[i] && !r ->
#ifdef MUT_OLDER
		rev[i] = r; proven[i] = moment; assert(false)   /* BACK */
#else
		skip
#endif
	:: else ->
		if
		:: !known[i] || (r && !rev[i]) -> proven[i] = moment
		:: else -> proven[i] = (moment > proven[i] -> moment : proven[i])
		fi;
		known[i] = true;
		rev[i] = r
	fi;
	assert(rev[i] || changed == NEVER || proven[i] <= changed)   /* YOUNG */
}

/* Host i's call is over; what it held is cleared, so that fewer states differ. */
inline hang_up(i) {
	c_on[i] = false; c_read[i] = false; c_rev[i] = false; c_sent[i] = 0
}

/* Host i hears the newest heartbeat of host j. */
inline hear(i, j) {
	heard[i] = m_sent[j];
	if
	:: m_echo[j] != NEVER && m_echo[j] >= m_age[j] ->
#ifdef MUT_NO_AGE
		learn(i, m_rev[j], m_echo[j])
#else
#ifdef MUT_RECEIPT
		learn(i, m_rev[j], now - m_age[j])
#else
		learn(i, m_rev[j], m_echo[j] - m_age[j])
#endif
#endif
	:: else -> skip
	fi
}

/* Everything that host i may do. */
#define HOST(i, j) \
	:: atomic { !c_on[i] -> c_on[i] = true; c_read[i] = false; c_sent[i] = now } \
	:: atomic { c_on[i] && !c_read[i] -> c_read[i] = true; c_rev[i] = (changed != NEVER) } \
	:: atomic { c_on[i] && c_read[i] -> learn(i, c_rev[i], CALL(i)); hang_up(i) } \
	:: atomic { c_on[i] -> hang_up(i) } \
	:: atomic { known[i] -> m_on[i] = true; m_rev[i] = rev[i]; m_age[i] = now - proven[i]; m_sent[i] = now; m_echo[i] = heard[i] } \
	:: atomic { m_on[j] -> hear(i, j) }

#ifdef MUT_ANSWERED
#define CALL(i) now
#else
#define CALL(i) c_sent[i]
#endif

active proctype World() {
	do
	:: atomic { now < END -> now++ }
	:: atomic { changed == NEVER -> changed = now }
	HOST(0, 1)
	HOST(1, 0)
	:: now == END -> break
	od
}
