/*
 * Sends of a request on trial, each granted by the store: packages quarantine
 * (Book, Record), ingress (grant) and edge (records).
 *
 * Endpoints have ended under a request; each of two hosts knows that, or learns
 * it at any moment. To send it once more a host writes one grant more than it
 * knows of, on the condition that the record is as it last saw it. The store
 * does a call at any later moment, its answer comes late or never, and a host
 * whose write was not done learns what stands. Hosts tell each other what
 * they know at any moments, or never; each may be killed and starts with
 * nothing. A send may be answered, once: the host that answers it knows that
 * the request is no longer on trial, others hear of that at any moment, and
 * the record is removed, which the store may do long after. Then endpoints may
 * end anew.
 *
 * Checked by an assertion: sends whose grant was asked for since the answer are
 * MOST at most (BOUND), whoever has heard of it. A record tells when it was
 * written; a host that knows of a later answer does not count what it says.
 * A send that was asked for before the answer and made after it is not counted:
 * there is one of each other host at most.
 *
 * Each MUT_ symbol takes one guard away; spec/trial.mutations lists them.
 */

#define MOST 2            /* grants until the request is answered */
#define KILLS 1           /* kills of hosts */
#define WRITES 4          /* writes to the store */

/* The record: its revision, 0 for none, the grants that it counts, and the answers before it was written. */
byte rec_rev = 0, rec_n = 0, rec_era = 0;
byte at = 0;              /* the newest revision of the store */

byte granted[2];          /* sends whose grant was asked for before, and after, the answer */
bool answered = false;
byte kills = 0;

/* What each host knows: grants, and answers (0 or 1). */
byte n[2], era[2];
byte from[2];             /* the answers before the newest grant that it knows of */
byte seen[2];             /* the revision that it was told of when its last write was not done, else 0 */

/* Each host's call for a grant: sent, done by the store, whether it wrote, and what stood if not. */
bool c_on[2], c_done[2], c_wrote[2];
byte c_rev[2], c_n[2], c_era[2];

bool busy[2];             /* a granted send is at an endpoint */
byte sent[2];             /* the answers before its grant was asked for */

/* The removal of the record: wanted, which revision it names, and whether it is on its way. */
bool d_want[2], d_read[2], d_sent[2];
byte d_rev[2];

/* Host i forgets all: its process ends. Calls on their way are done by the store all the same. */
inline kill(i) {
	n[i] = 0; from[i] = 0; era[i] = 0; seen[i] = 0;
	busy[i] = false; d_want[i] = false; d_read[i] = false;
	lost[i] = true
}
bool lost[2];             /* the answer to the call under way finds nobody */

/* Host i takes what stands, or what another host tells: k grants, after e answers. */
inline take(i, k, e) {
	if
	:: e >= era[i] ->
		if
		:: k > n[i] -> n[i] = k
		:: else
		fi;
		if
		:: e > from[i] -> from[i] = e
		:: else
		fi
	:: else
	fi
}

/* Host i hears that the request was answered: grants from before count no more. */
inline clear(i) {
	era[i] = 1;
	if
	:: from[i] < 1 -> n[i] = 0
	:: else
	fi
}

/* The store does host i's write. */
inline write(i) {
	if
#ifdef MUT_BLIND
	:: true ->
#else
	:: rec_rev == c_rev[i] ->
#endif
		at++; rec_rev = at; rec_n = c_n[i]; rec_era = c_era[i]; c_wrote[i] = true
	:: else ->
		c_wrote[i] = false; c_rev[i] = rec_rev; c_n[i] = rec_n; c_era[i] = rec_era
	fi;
	c_done[i] = true
}

proctype Host(byte i) {
	do
	/* a grant is asked for */
	:: atomic { !c_on[i] && n[i] < MOST && at < WRITES ->
		c_on[i] = true; c_done[i] = false; lost[i] = false;
		c_rev[i] = seen[i]; c_n[i] = n[i] + 1; c_era[i] = answered
#ifdef MUT_MEMORY
		; c_on[i] = false; n[i]++; granted[answered]++; assert(granted[answered] <= MOST)
#endif
	   }
	/* the store does it */
	:: atomic { c_on[i] && !c_done[i] -> write(i) }
	/* the answer comes */
	:: atomic { c_on[i] && c_done[i] && !lost[i] ->
		c_on[i] = false;
		if
		:: c_wrote[i] ->
			seen[i] = 0; take(i, c_n[i], c_era[i]);
			sent[i] = c_era[i];
			if
			:: sent[i] == answered -> granted[sent[i]]++
			:: else         /* it was answered meanwhile: not on trial any more */
			fi;
			assert(granted[sent[i]] <= MOST);        /* BOUND */
			busy[i] = true
		:: else ->
			seen[i] = c_rev[i];
#ifndef MUT_FORGET
			take(i, c_n[i], c_era[i])
#endif
		fi
	   }
	/* the answer is lost: nothing is sent */
	:: atomic { c_on[i] && c_done[i] ->
		c_on[i] = false;
#ifdef MUT_SEND
		granted[c_era[i]]++; assert(granted[c_era[i]] <= MOST)
#endif
	   }
	/* a send is answered */
	:: atomic { busy[i] && !answered ->
		busy[i] = false; answered = true; clear(i); d_want[i] = true; d_read[i] = false
	   }
	:: atomic { busy[i] -> busy[i] = false }
	/* the record is removed: read first, then as it was read, which the store may do late */
	:: atomic { d_want[i] && !d_read[i] && !d_sent[i] ->
		d_rev[i] = rec_rev; d_read[i] = true;
		if
#ifndef MUT_LATER
		:: rec_rev == 0 || rec_era > 0 -> d_want[i] = false; d_read[i] = false
#endif
		:: else
		fi
	   }
	:: atomic { d_want[i] && d_read[i] -> d_want[i] = false; d_read[i] = false; d_sent[i] = true }
	:: atomic { d_sent[i] ->
		d_sent[i] = false;
		if
#ifdef MUT_REMOVE
		:: true -> rec_rev = 0
#else
		:: rec_rev == d_rev[i] -> rec_rev = 0
		:: else
#endif
		fi
	   }
	/* the other host tells */
	:: atomic { n[1-i] > n[i] && from[1-i] >= era[i] -> take(i, n[1-i], from[1-i]) }
	:: atomic { era[1-i] > era[i] -> clear(i) }
	/* it is killed, and starts with nothing */
	:: atomic { kills < KILLS -> kills++; kill(i) }
	od
}

init {
	atomic { run Host(0); run Host(1) }
}
