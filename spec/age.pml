/*
 * Bounds on the age of a host's settings: packages feed (Age, Settings) and
 * peers (Proof).
 *
 * The store holds a revision, which changes once, when a key is withdrawn.
 * Two hosts read it. A call is sent, read by the store and answered at any
 * later times, or never. Hosts exchange heartbeats with their revision, its
 * age at the time of sending, and which heartbeat of the other host they
 * received last. A heartbeat is delivered late, any number of times, or never.
 * A host that receives one dates the other's proof to the time at which it
 * sent the heartbeat that this one answers, minus the age. So no delay can
 * make a proof seem more recent than it is.
 *
 * Time may pass between any two steps of a host, as when its process does not
 * run or is suspended. With SLOW a host makes a heartbeat in two steps: first
 * it chooses which heartbeat of the other to answer, then it reads the age.
 * The host's clock counts suspensions. With a clock that stops during a
 * suspension (MUT_STEADY) all remembered times move nearer to the present.
 *
 * Assertions check that no host believes that the old revision was the newest
 * at a time after the change (YOUNG), and that its revision never goes back
 * (BACK). Together they ensure that a withdrawn key is accepted for no longer
 * than the age up to which settings are trusted.
 *
 * Each MUT_ symbol removes one guard; spec/age.mutations lists them.
 */

#define END 2             /* ticks of time */
#define NEVER 255

byte now = 0;
byte changed = NEVER;     /* when the revision changed at the store */

/* What each host knows: its revision, and when that was proven to be the newest. */
bool known[2], rev[2];
byte proven[2];

/* Each host's call to the store: under way, read by the store, the revision read, and when it was sent. */
bool c_on[2], c_read[2], c_rev[2];
byte c_sent[2];

/*
 * The newest heartbeat of each host: sent at all, its revision, age and time of
 * sending, and when the heartbeat that it answers was sent. heard is when the
 * newest heartbeat that the host received from the other was sent.
 */
bool m_on[2], m_rev[2];
byte m_age[2], m_sent[2], m_echo[2];
byte heard[2] = NEVER;

/* The heartbeat that each host has begun and not sent yet, between its two steps. */
bool b_on[2];
byte b_sent[2], b_echo[2];
#ifdef MUT_AGE_FIRST
byte b_age[2];
bool b_rev[2];
#endif

/* Host i learns that revision r was the newest at a time. */
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

/* Host i's call has ended. Its variables are cleared to reduce the number of states. */
inline hang_up(i) {
	c_on[i] = false; c_read[i] = false; c_rev[i] = false; c_sent[i] = 0
}

/* Host i receives the newest heartbeat of host j. */
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

/* Host i begins a heartbeat, which send_beat sends later. */
inline begin_beat(i) {
	b_on[i] = true; b_sent[i] = now; b_echo[i] = heard[i];
#ifdef MUT_AGE_FIRST
	b_age[i] = now - proven[i]; b_rev[i] = rev[i]
#endif
}

inline send_beat(i) {
	m_on[i] = true; m_sent[i] = b_sent[i];
#ifdef MUT_AGE_FIRST
	m_echo[i] = heard[i]; m_age[i] = b_age[i]; m_rev[i] = b_rev[i];
	b_age[i] = 0; b_rev[i] = false;
#else
	m_echo[i] = b_echo[i]; m_age[i] = now - proven[i]; m_rev[i] = rev[i];
#endif
	b_on[i] = false; b_sent[i] = 0; b_echo[i] = 0
}

#ifdef MUT_STEADY
/* Host i is suspended for a tick that its clock does not count, so that the times it remembers move on by one. */
inline doze(i, j) {
	now++;
	if :: known[i] -> proven[i]++ :: else fi;
	if :: c_on[i] -> c_sent[i]++ :: else fi;
	if :: b_on[i] -> b_sent[i]++ :: else fi;
	if :: m_on[i] -> m_sent[i]++ :: else fi;
	if :: heard[j] != NEVER -> heard[j]++ :: else fi;
	if :: m_on[j] && m_echo[j] != NEVER -> m_echo[j]++ :: else fi;
	assert(!known[i] || rev[i] || changed == NEVER || proven[i] <= changed)   /* YOUNG */
}
#define SLEEP(i, j) :: atomic { now < END -> doze(i, j) }
#else
#define SLEEP(i, j)
#endif

/* Host i calls the store: it sends a call, the store reads it, the host receives the answer, or the call fails. */
#define ASK(i) \
	:: atomic { !c_on[i] -> c_on[i] = true; c_read[i] = false; c_sent[i] = now } \
	:: atomic { c_on[i] && !c_read[i] -> c_read[i] = true; c_rev[i] = (changed != NEVER) } \
	:: atomic { c_on[i] && c_read[i] -> learn(i, c_rev[i], CALL(i)); hang_up(i) } \
	:: atomic { c_on[i] -> hang_up(i) }

/* Host i makes a heartbeat in one step, or in two. */
#define BEAT(i) :: atomic { known[i] -> begin_beat(i); send_beat(i) }
#define SLOW_BEAT(i) \
	:: atomic { known[i] && !b_on[i] -> begin_beat(i) } \
	:: atomic { b_on[i] -> send_beat(i) }

/* Host i receives a heartbeat of host j. */
#define HEAR(i, j) :: atomic { m_on[j] -> hear(i, j) }

#ifdef MUT_AGE_FIRST
#define SLOW
#endif

/*
 * All steps of the hosts. With SLOW host 1 reads the store and makes its heartbeats in two steps, while
 * host 0 only exchanges heartbeats: the states of two hosts with so many steps need more than 2 GB.
 */
#ifdef SLOW
#define HOSTS \
	:: atomic { m_on[0] = true; m_rev[0] = rev[0]; m_age[0] = NEVER; m_sent[0] = now; m_echo[0] = NEVER } \
	HEAR(0, 1) ASK(1) SLOW_BEAT(1) HEAR(1, 0)
#else
#define HOSTS ASK(0) BEAT(0) HEAR(0, 1) SLEEP(0, 1) ASK(1) BEAT(1) HEAR(1, 0) SLEEP(1, 0)
#endif

#ifdef MUT_ANSWERED
#define CALL(i) now
#else
#define CALL(i) c_sent[i]
#endif

active proctype World() {
	do
	:: atomic { now < END -> now++ }
	:: atomic { changed == NEVER -> changed = now }
	HOSTS
	:: now == END -> break
	od
}
