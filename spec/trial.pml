/*
 * Sends of a request on trial, each granted by the store: packages quarantine
 * (Registry, Record), ingress (grant) and edge (records).
 *
 * Endpoints crashed while they ran a request; each of two hosts knows that, or
 * learns it at any time. To send the request once more, a host writes a record
 * with one grant more than it knows of, on the condition that the stored record
 * is as the host last saw it. The store executes a call at any later time, and
 * its answer arrives late or never. A host whose write was rejected learns the
 * stored record. Hosts exchange what they know at any time, or never. Each may
 * be killed and restarts without memory. A send may be answered, once: the host
 * that receives the answer knows that the request is no longer on trial, others
 * learn that at any time, and the record is removed, which the store may do
 * long after. Then endpoints may crash again.
 *
 * An assertion checks that at most MOST sends are made whose grant was requested
 * since the answer (BOUND), whichever hosts have learned of it. A record says
 * when it was written; a host that knows of a later answer ignores its grants.
 * A send whose grant was requested before the answer and which is made after it
 * is not counted: there is at most one from each other host.
 *
 * Each MUT_ symbol removes one guard; spec/trial.mutations lists them.
 */

#define MOST 2            /* grants until the request is answered */
#define KILLS 1           /* kills of hosts */
#define WRITES 4          /* writes to the store */

/* The stored record: its revision (0 for none), its number of grants, and the number of answers before it was written. */
byte rec_rev = 0, rec_n = 0, rec_era = 0;
byte at = 0;              /* the newest revision of the store */

byte granted[2];          /* sends whose grant was requested before, and after, the answer */
bool answered = false;
byte kills = 0;

/* What each host knows: the number of grants, and of answers (0 or 1). */
byte n[2], era[2];
byte from[2];             /* the number of answers before the newest grant that it knows of */
byte seen[2];             /* the revision that it learned when its last write was rejected, else 0 */

/* Each host's call for a grant: under way, executed, whether it wrote, and the record to write or, if rejected, the stored one. */
bool c_on[2], c_done[2], c_wrote[2];
byte c_rev[2], c_n[2], c_era[2];

bool busy[2];             /* a granted send is at an endpoint */
byte sent[2];             /* the number of answers before its grant was requested */

/* The removal of the record: wanted, record read, call under way, and the revision that was read. */
bool d_want[2], d_read[2], d_sent[2];
byte d_rev[2];

/* The process of host i ends and loses its memory. The store still executes calls under way. */
inline kill(i) {
	n[i] = 0; from[i] = 0; era[i] = 0; seen[i] = 0;
	busy[i] = false; d_want[i] = false; d_read[i] = false;
	lost[i] = true
}
bool lost[2];             /* the process that made the call under way has ended */

/* Host i merges what the store or another host reports: k grants, after e answers. */
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

/* Host i learns that the request was answered: earlier grants no longer count. */
inline clear(i) {
	era[i] = 1;
	if
	:: from[i] < 1 -> n[i] = 0
	:: else
	fi
}

/* The store executes host i's write. */
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
	/* a grant is requested */
	:: atomic { !c_on[i] && n[i] < MOST && at < WRITES ->
		c_on[i] = true; c_done[i] = false; lost[i] = false;
		c_rev[i] = seen[i]; c_n[i] = n[i] + 1; c_era[i] = answered
#ifdef MUT_MEMORY
		; c_on[i] = false; n[i]++; granted[answered]++; assert(granted[answered] <= MOST)
#endif
	   }
	/* the store executes the call */
	:: atomic { c_on[i] && !c_done[i] -> write(i) }
	/* the answer arrives */
	:: atomic { c_on[i] && c_done[i] && !lost[i] ->
		c_on[i] = false;
		if
		:: c_wrote[i] ->
			seen[i] = 0; take(i, c_n[i], c_era[i]);
			sent[i] = c_era[i];
			if
			:: sent[i] == answered -> granted[sent[i]]++
			:: else         /* the request was answered meanwhile and is no longer on trial */
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
	/* the record is removed: the host reads it and then removes that revision, which the store may execute late */
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
	/* the other host reports what it knows */
	:: atomic { n[1-i] > n[i] && from[1-i] >= era[i] -> take(i, n[1-i], from[1-i]) }
	:: atomic { era[1-i] > era[i] -> clear(i) }
	/* the host is killed and restarts without memory */
	:: atomic { kills < KILLS -> kills++; kill(i) }
	od
}

init {
	atomic { run Host(0); run Host(1) }
}
