/*
 * By which list of endpoints a host may send: packages feed (Reach, callLog,
 * Endpoints.Usable) and ingress (stillAllowed).
 *
 * The store holds one endpoint's entry, which says from some moment on that it
 * leaves. It may go away and come back. The host calls it, one call at a time;
 * the store reads the call, or refuses it, or never sees it: while it is away
 * always; while it is there, never as the fourth in a row that fails, or later. (A
 * host that hears no other, and whose first call after an outage fails alone, is excused for a
 * while longer than it should be: what others know of the store ends that.) An answer lies in the
 * host's socket until the host's process runs and reads it. A process that
 * runs judges a call that has no answer there as silent; it may also give one up
 * without a judgement. Four calls that fail in a row, with no answer between
 * them, tell an outage; the last of them, by when it was sent, excuses
 * an old list for a time.
 *
 * A request is bound to the endpoint at one moment (choice) and sent at a later
 * one; time may pass between any two steps.
 *
 * Checked by assertions: no request goes to the endpoint later than DRAIN after
 * it left, unless the store was away within the last CONTACT (LATE). A host to which the
 * store is away and that has just had four calls fail may send (SERVES).
 *
 * Each MUT_ symbol takes one guard away; spec/list.mutations lists them.
 */

#define END 7             /* ticks of time */
#define DRAIN 2
#define MOST 1            /* the age up to which a list is used: less than DRAIN */
#define CONTACT 3
#define KEEP 2            /* how long a failed call excuses: less than CONTACT */
#define TRIES 4
#define NEVER 255

#ifdef MUT_ONE
#define TELL 1
#else
#define TELL TRIES
#endif

byte now = 0;

/* The store. */
bool away = false;
byte lastaway = NEVER;    /* the newest moment at which it was away */
byte left = NEVER;        /* since when the endpoint leaves */

/* The host's call: sent; answered, so that an answer lies in the socket. */
bool on = false, answered = false, view = false, lost = false;
byte sent = 0;

/* What the host believes: the list, as of a moment; failed calls in a row; the last one of those that told an outage. */
bool leaving = false;
byte proven = 0, fails = 0, out = NEVER;

/* A request that was bound to the endpoint; whether its list was usable then. */
bool bound = false, usable = false;

inline hang_up() {
	on = false; answered = false; view = false; lost = false; sent = 0
}

inline failed() {
	if :: fails < TRIES -> fails++ :: else fi;
	if :: fails >= TELL -> out = sent :: else fi;
	hang_up()
}

inline hear() {
	leaving = view; fails = 0;
#ifdef MUT_RECEIPT
	proven = now;
#else
	proven = sent;
#endif
	hang_up()
}


#ifdef MUT_FOREVER
#define EXCUSED (out != NEVER)
#else
#define EXCUSED (out != NEVER && now - out <= KEEP)
#endif
#define USABLE (now - proven <= MOST || EXCUSED)

#if defined(MUT_NO_CHECK)
#define MAY true
#elif defined(MUT_AT_CHOICE)
#define MAY usable
#else
#define MAY USABLE
#endif

/* A process that runs finds an answer in its socket before it calls the call silent. */
#ifdef MUT_CLOCK
#define SILENT on
#else
#define SILENT (on && !answered && lost)
#endif

active proctype World() {
	do
	:: atomic { now < END -> now++; if :: away -> lastaway = now :: else fi }
	:: atomic { !away -> away = true; lastaway = now }
	:: atomic { away -> away = false }
	:: atomic { !away && left == NEVER -> left = now }
	/* A call, and what becomes of it. */
	:: atomic { !on -> on = true; sent = now }
	:: atomic { on && !answered && !lost && !away -> answered = true; view = (left != NEVER) }
	:: atomic { on && !answered && !lost && !away && fails + 1 < TRIES -> lost = true }
	:: atomic { on && !answered && !lost && !away && fails + 1 < TRIES -> failed() }
	:: atomic { on && !answered && !lost && away -> lost = true }
	:: atomic { on && !answered && !lost && away -> failed() }
	/* The process runs. */
	:: atomic { on && answered -> hear() }
	:: atomic { SILENT -> failed() }
	:: atomic { on && lost -> hang_up() }
	/* A request. */
	:: atomic { !bound && !leaving -> bound = true; usable = USABLE }
	:: atomic { bound && !leaving && MAY ->
		assert(left == NEVER || now - left <= DRAIN || (lastaway != NEVER && now - lastaway <= CONTACT));   /* LATE */
		bound = false; usable = false }
	:: atomic { bound -> bound = false; usable = false }
	:: atomic { away && fails >= TRIES && out == now -> assert(USABLE) }   /* SERVES */
	:: now == END -> break
	od
}
