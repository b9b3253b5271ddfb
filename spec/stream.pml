/*
 * A stream that its callers resume at any host: packages origin (Book,
 * History), ingress (origin.go), peers (origin.go) and edge (versions.go).
 *
 * A service has endpoints of version 0; endpoints of version 1 are listed at
 * any time, and then those of version 0 may leave the list, although they still
 * serve what they run. Each of two hosts follows the list, each change at any
 * later time. A host begins the stream at a version of its list and remembers
 * it. Hosts that have seen both versions tell the others, in datagrams that may
 * be lost, and a record in the store says so, if it is written. Hosts are killed
 * and start again without memory; they read the list and then the record. The
 * stream breaks at any time, also with its host, and a caller resumes it at
 * any host. That one asks the others that are up, whose answers may be lost.
 *
 * An assertion checks that the stream goes on at the version that began it.
 *
 * An assumption stands for a bound in time: a stream is over before a version
 * that left the list is forgotten (Memory is longer than callers wait), so that
 * nothing is forgotten here. With a third host, one whose list is as old could be
 * the only one that answers, if the host that began the stream died before any
 * datagram of it arrived; the age of a list that may be used bounds that.
 *
 * Each MUT_ symbol removes one guard; spec/stream.mutations lists them.
 */

#define HOSTS 2
#define KILLS 2
#define BREAKS 2

#define ONE(mask) (mask == 1 || mask == 2)  /* a single version */
#define BOTH 3

#ifdef MUT_INCOMPLETE
#define COMPLETE(i) true
#else
#define COMPLETE(i) complete[i]
#endif
#ifdef MUT_ALONE
#define HEARD true
#else
#define HEARD heard
#endif
#ifdef MUT_UNWARNED
#define WARNS false
#else
#define WARNS true
#endif
#ifdef MUT_UNRECORDED
#define RECORDS false
#else
#define RECORDS true
#endif

byte listed = 1;          /* versions that the store lists, a bit each */
bool recorded = false;    /* the record that both versions have served */

bool up[HOSTS];
byte list[HOSTS];         /* versions of the list in force */
byte seen[HOSTS];         /* versions seen since the start */
bool complete[HOSTS];     /* the record was read, or no host ran before */
bool warned[HOSTS];       /* the record, or another host, says that there were both */
byte knows[HOSTS];        /* the version that began the stream, a bit; 0 if not remembered */

byte origin = 0;          /* the version that began the stream, a bit; 0 before */
byte at = HOSTS;          /* the host that serves the stream; HOSTS if it is broken */
byte kills = 0, breaks = 0;

inline tell(from, to) {
	if
	:: up[to] && knows[to] == 0 -> knows[to] = knows[from]
	:: else
	fi
}

/* Host i has seen both versions for the first time: it tells what it remembers. */
inline tellAll(i, j) {
	j = 0;
	do
	:: j < HOSTS ->
		if
		:: j != i && knows[i] != 0 -> tell(i, j)
		:: true                   /* lost */
		fi;
		j++
	:: else -> break
	od
}

inline sync(i, j) {
	list[i] = listed;
	if
	:: seen[i] != BOTH && (seen[i] | listed) == BOTH ->
		seen[i] = BOTH;
		tellAll(i, j)
	:: else -> seen[i] = seen[i] | listed
	fi
}

/* The stream's first event goes out at host i, from an endpoint of version v. */
inline begin(i, v, j) {
	origin = v; at = i; knows[i] = v;
	j = 0;
	do
	:: j < HOSTS ->
		if
		:: j != i && seen[i] == BOTH -> tell(i, j)
		:: true                   /* lost, or not told */
		fi;
		j++
	:: else -> break
	od
}

inline goOn(i, v) {
	assert(v == origin);
	at = i; knows[i] = v
}

/* A caller resumes the stream at host i. */
inline resume(i, j, heard) {
	heard = false;
	j = 0;
	do
	:: j < HOSTS && knows[i] == 0 ->
		if
		:: j != i && up[j] ->
			heard = true;
			if
			:: knows[j] != 0 -> knows[i] = knows[j]
			:: else
			fi;
			if
			:: (seen[i] | seen[j]) == BOTH && WARNS -> warned[i] = true
			:: else
			fi
		:: true                /* no answer */
		fi;
		j++
	:: else -> break
	od;
	if
	:: knows[i] != 0 -> goOn(i, knows[i])
	:: else ->
		if
		:: ONE(seen[i]) && COMPLETE(i) && !warned[i] && HEARD -> goOn(i, seen[i])
		:: else                /* refused */
		fi
	fi;
	heard = false
}

inline kill(i) {
	up[i] = false; list[i] = 0; seen[i] = 0; complete[i] = false; warned[i] = false; knows[i] = 0;
	if
	:: at == i -> at = HOSTS
	:: else
	fi;
	kills++
}

active [HOSTS] proctype host() {
	byte i = _pid, j = 0;
	bool heard = false;
	/* The whole system starts for the first time. */
	atomic { up[i] = true; list[i] = listed; seen[i] = listed; complete[i] = (listed == 1) };
	do
	:: atomic { up[i] && list[i] != listed -> sync(i, j) }
	:: atomic { up[i] && origin == 0 && (list[i] & 1) -> begin(i, 1, j) }
	:: atomic { up[i] && origin == 0 && (list[i] & 2) -> begin(i, 2, j) }
	:: atomic { up[i] && origin != 0 && at == HOSTS -> resume(i, j, heard) }
	:: atomic { at == i && breaks < BREAKS -> at = HOSTS; breaks++ }
	:: up[i] && seen[i] == BOTH && !recorded && RECORDS -> recorded = true
	:: atomic { up[i] && !complete[i] -> complete[i] = true; warned[i] = warned[i] || recorded }
	:: atomic { up[i] && kills < KILLS -> kill(i) }
	:: atomic { !up[i] -> up[i] = true; list[i] = listed; seen[i] = listed }
	od
}

active proctype releases() {
	listed = BOTH;
	/* The last endpoint of version 0 leaves the list once the hosts that are up have had time to write the record. */
	(recorded || !RECORDS) -> listed = 2
}
