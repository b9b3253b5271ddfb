/*
 * The protocol of package once for one ID: owner, witness and two callers.
 *
 * A network that loses, duplicates, delays and reorders messages is modelled by
 * one bit for each message: once sent, it may be delivered at any time, any
 * number of times, or never. A pause is any interleaving in which a process
 * takes no step. A crash loses all memory. A restarted process is another
 * incarnation, which the ID does not name, so that it takes no part unless a
 * mutation lets it.
 *
 * Assertions check that the request is sent to the endpoint at most once
 * (ONCE), and that a request of which a caller was told "not run" has not been
 * sent and never is (NOTRUN). An LTL formula checks, without faults, that the
 * request is answered.
 *
 * Each MUT_ symbol removes one guard of the protocol; spec/once.mutations lists
 * them and spec/check shows that each is caught.
 */

mtype = { Absent, Waiting, Recording, Recorded, Dispatched, Answered, Lost, Refused };
mtype = { None, Noted, Closed };

/* Messages that were sent. */
bool m_req, m_query, m_close, m_record, m_ack, m_refuse;

/* The owner. */
mtype st = Absent;
bool o_alive = true;
bool o_forgot;            /* its generation is no longer kept */
bool o_full;              /* currently no room for another record */
bool o_sealed;            /* never takes new records again */
bool sent_now;            /* a byte of this dispatch was sent */

/* The witness and the copy that a successor holds. */
mtype note = None;
bool w_alive = true;
bool w_forgot, w_full, w_sealed;
bool copied;
mtype copy = None;

/* What endpoint and callers observe. */
byte sends;
bool told;                /* a caller was told "not run" */
bool answered;

inline send_to_endpoint() {
	sends++;
	sent_now = true;
	assert(sends <= 1);       /* ONCE */
	assert(!told);            /* NOTRUN */
}

inline tell_not_run() {
	told = true;
	assert(sends == 0);       /* NOTRUN */
}

/* The owner's answer to a request or question about an ID without a record. */
inline unknown_id(accept) {
	if
	:: o_forgot ->
#ifdef MUT_OWNER_FORGETS
		st = Waiting
#else
		skip                    /* "unknown": neither run nor said "not run" */
#endif
	:: !o_forgot && (o_full || o_sealed) ->
#ifndef MUT_OWNER_NO_SEAL
		o_sealed = true;
#endif
		tell_not_run()
	:: !o_forgot && !o_full && !o_sealed ->
		if
		:: accept -> st = Waiting
		:: !accept ->
#ifndef MUT_QUERY_NO_NOTE
			st = Refused;
#endif
			tell_not_run()
		fi
	fi
}

active proctype Owner() {
	do
	:: atomic { o_alive && m_req && st == Absent -> unknown_id(true) }
#ifndef NOFAULT
	:: atomic { o_alive && m_query && st == Absent -> unknown_id(false) }
#endif
#ifdef MUT_ACCEPT_TWICE
	:: atomic { o_alive && m_req && (st == Answered || st == Lost) -> st = Waiting }
#endif
	:: atomic { o_alive && st == Waiting -> st = Recording; m_record = true }
	:: atomic { o_alive && st == Recording && m_ack -> st = Recorded }
#ifdef MUT_LATE_ACK
	:: atomic { o_alive && st == Refused && m_ack -> st = Recorded }
#endif
	:: atomic { o_alive && st == Recording && m_refuse ->
#ifdef MUT_IGNORE_REFUSAL
		st = Recorded
#else
		st = Refused
#endif
	   }
#ifdef MUT_NO_WAIT
	:: atomic { o_alive && st == Recording -> st = Dispatched; sent_now = false }
#endif
#ifdef MUT_NO_RECORD
	:: atomic { o_alive && st == Waiting -> st = Dispatched; sent_now = false }
#endif
	:: atomic { o_alive && st == Recorded -> st = Dispatched; sent_now = false }
	:: atomic { o_alive && st == Dispatched && !sent_now -> send_to_endpoint() }
	:: atomic { o_alive && st == Dispatched && sent_now -> st = Answered; answered = true }
#ifndef NOFAULT
	/* The connection was refused, so that no byte was sent. */
	:: atomic { o_alive && st == Dispatched && !sent_now -> st = Recorded }
#ifdef MUT_RETRACT_SENT
	:: atomic { o_alive && st == Dispatched && sent_now -> st = Recorded }
#endif
	:: atomic { o_alive && st == Dispatched && sent_now -> st = Lost }
	/* The deadline passed, the request was shed, the witness does not answer, or the caller left. */
	:: atomic { o_alive && (st == Waiting || st == Recording || st == Recorded) -> st = Refused }
#ifdef MUT_REFUSE_DISPATCHED
	:: atomic { o_alive && st == Dispatched -> st = Refused }
#endif
	:: atomic { o_alive && st == Refused && !told -> tell_not_run() }
	/* The generation expires, and its final records are dropped. */
	:: atomic { o_alive && !o_forgot && (st == Absent || st == Refused || st == Lost || st == Answered) ->
		st = Absent; o_forgot = true }
	:: atomic { o_alive -> o_full = !o_full }
	:: atomic { o_alive -> o_alive = false;
#ifdef MUT_OWNER_RESTART
		/* A host of the same name restarts and treats the ID as its own. */
		o_alive = true; st = Absent
#endif
	   }
#endif
	od
}

/* The witness's answer to a request to record. */
inline record_note() {
	if
	:: w_forgot ->
#ifdef MUT_WITNESS_FORGETS
		note = Noted; m_ack = true
#else
		m_refuse = true
#endif
	:: !w_forgot && note == Noted -> m_ack = true
	:: !w_forgot && note == Closed ->
#ifdef MUT_RECORD_CLOSED
		note = Noted; m_ack = true
#else
		m_refuse = true
#endif
	:: !w_forgot && note == None && (w_full || w_sealed) -> m_refuse = true
	:: !w_forgot && note == None && !w_full && !w_sealed -> note = Noted; m_ack = true
	fi
}

/* The witness's answer to a caller that lost the owner. */
inline close_note() {
	if
	:: w_forgot ->
#ifdef MUT_FORGOTTEN_NOT_RUN
		tell_not_run()
#else
		skip
#endif
	:: !w_forgot && note == Noted -> skip
	:: !w_forgot && note == Closed -> tell_not_run()
	:: !w_forgot && note == None && (w_full || w_sealed) ->
#ifndef MUT_WITNESS_NO_SEAL
		w_sealed = true;
#endif
		tell_not_run()
	:: !w_forgot && note == None && !w_full && !w_sealed ->
#ifndef MUT_CLOSE_NO_NOTE
		note = Closed;
#endif
		tell_not_run()
	fi
}

active proctype Witness() {
	do
	:: atomic { w_alive && m_record -> record_note() }
#ifndef NOFAULT
	:: atomic { w_alive && m_close -> close_note() }
	:: atomic { w_alive && !w_forgot -> note = None; w_forgot = true }
	:: atomic { w_alive -> w_full = !w_full }
	/* The witness leaves: it is sealed and its records go to a successor. */
	:: atomic { w_alive && !copied && !w_forgot ->
#ifndef MUT_LEAVE_NO_SEAL
		w_sealed = true;
#endif
		copied = true; copy = note }
	:: atomic { w_alive -> w_alive = false }
	/* Another incarnation at its address refuses messages that name the old one. */
	:: atomic { !w_alive && m_record ->
#ifdef MUT_WITNESS_RESTART
		m_ack = true
#else
		m_refuse = true
#endif
	   }
#ifdef MUT_RESTART_CLOSES
	:: atomic { !w_alive && m_close -> tell_not_run() }
#endif
	/* The copy answers callers and records nothing. */
	:: atomic { copied && m_close && copy != Noted -> tell_not_run() }
#endif
	od
}

/* Two callers that send all requests and questions, in any order. */
active [2] proctype Caller() {
	do
	:: !m_req -> m_req = true
#ifndef NOFAULT
	:: !m_query -> m_query = true
	:: !m_close -> m_close = true
#endif
	:: m_req && m_query && m_close -> break
	od
}

#ifdef NOFAULT
ltl progress { <> answered }
#endif
