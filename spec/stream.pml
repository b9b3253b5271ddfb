/*
 * A stream that its callers resume at any host: packages origin (Book,
 * History), ingress (origin.go), peers (origin.go) and edge (versions.go).
 *
 * A service has endpoints of version 0; endpoints of version 1 are listed at
 * any time, and then those of either version may leave the list at any time,
 * although they still serve what they run. Each of two hosts follows the list,
 * each change at any later time. A record in the store holds the versions at
 * which streams may have begun; a host adds those that it lists, at any later
 * time. A host begins the stream at a version that is on record and in its list,
 * or at any version of its list if only others are on record, and remembers it.
 * Hosts that have seen both versions tell the others, in datagrams that may be
 * lost. Hosts are killed and start again without memory; they read the list and
 * then the record. The stream breaks at any time, also with its host, and a
 * caller resumes it at any host. That one asks the others that are up, whose
 * answers may be lost.
 *
 * An assertion checks that the stream goes on at the version that began it.
 *
 * An assumption stands for a bound in time: a stream is over before a version
 * that left the list is forgotten (Memory is longer than callers wait), so that
 * nothing is forgotten here. With a third host, one whose list is as old could be
 * the only one that answers, if the host that began the stream died before any
 * datagram of it arrived; the age of a list that may be used bounds that.
 *
 * A second one: the wait for the record is not given up. Hosts give it up after
 * some seconds in which the store takes no write.
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
#ifdef MUT_UNHELD
#define HOLDS false
#else
#define HOLDS true
#endif
#ifdef MUT_ABSENT
#define PROVES(r) true
#else
#define PROVES(r) (r != 0)
#endif
#ifdef MUT_HASTY
#define ANSWERS(j) true
#else
#define ANSWERS(j) (complete[j] || knows[j] != 0)
#endif
/* Host i may begin a stream at version v, a bit. */
#define MAYBEGIN(i, v) ((list[i] & v) && (!HOLDS || (record & v) || (record != 0 && !(record & list[i]))))

byte listed = 1;          /* versions that the store lists, a bit each */
bool released = false;    /* the list has changed since the first start */
byte record = 0;          /* versions on record, a bit each */

bool up[HOSTS];
byte list[HOSTS];         /* versions of the list in force */
byte seen[HOSTS];         /* versions seen since the start */
bool first[HOSTS];        /* no host ran before this one's start */
bool complete[HOSTS];     /* the record is known, which holds all versions so far */
bool warned[HOSTS];       /* another host says that there were both */
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
		:: j != i && up[j] && ANSWERS(j) ->
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
	up[i] = false; list[i] = 0; seen[i] = 0; first[i] = false; complete[i] = false; warned[i] = false; knows[i] = 0;
	if
	:: at == i -> at = HOSTS
	:: else
	fi;
	kills++
}

active [HOSTS] proctype host() {
	byte i = _pid, j = 0;
	bool heard = false;
	/* The whole system starts for the first time: no stream began before the list that a host then reads. */
	atomic { up[i] = true; list[i] = listed; seen[i] = listed; first[i] = !released };
	do
	:: atomic { up[i] && list[i] != listed -> sync(i, j) }
	:: atomic { up[i] && origin == 0 && MAYBEGIN(i, 1) -> begin(i, 1, j) }
	:: atomic { up[i] && origin == 0 && MAYBEGIN(i, 2) -> begin(i, 2, j) }
	:: atomic { up[i] && origin != 0 && at == HOSTS -> resume(i, j, heard) }
	:: atomic { at == i && breaks < BREAKS -> at = HOSTS; breaks++ }
	/* Only a host that knows all versions so far writes the record; others would make it look whole. */
	:: atomic { up[i] && (complete[i] || first[i]) && (record | seen[i]) != record -> record = record | seen[i]; complete[i] = true; seen[i] = record }
	:: atomic { up[i] && !complete[i] && PROVES(record) -> complete[i] = true; seen[i] = seen[i] | record }
	:: atomic { up[i] && kills < KILLS -> kill(i) }
	:: atomic { !up[i] -> up[i] = true; list[i] = listed; seen[i] = listed }
	od
}

active proctype releases() {
	atomic { listed = BOTH; released = true };
	if
	:: listed = 2
	:: listed = 1
	fi
}
