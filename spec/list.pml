/*
 * Whether a host may send by its list of endpoints: packages feed
 * (StoreHealth, callLog, Endpoints.Usable) and ingress (the check before a
 * request is sent).
 *
 * The store holds the entry of one endpoint, which says from some time on that
 * the endpoint is leaving. The store may become unreachable ("away") and
 * reachable again. The host calls it, one call at a time. The store reads the
 * call, refuses it or never receives it. While it is away, calls always fail;
 * while it is reachable, a call never fails as the fourth or a later one in a
 * row. (This excludes a host that receives nothing from other hosts and whose
 * first call after an outage fails alone: it may use an old list for longer
 * than it should. What other hosts know of the store ends that.) An answer
 * stays in the host's socket until the host's process runs and reads it. A
 * process that runs counts a call without an answer in the socket as silent;
 * it may also abandon a call without counting it. Four failed calls in a row,
 * with no answer between them, indicate an outage. For a time from the sending
 * of the last of them, the host may use an old list.
 *
 * A request is bound to the endpoint at one time (choice) and sent at a later
 * one. Time may pass between any two steps.
 *
 * Assertions check that no request goes to the endpoint later than DRAIN after
 * it left, unless the store was away within the last CONTACT (LATE), and that
 * a host may send if the store is away and four of its calls have just failed
 * (SERVES).
 *
 * Each MUT_ symbol removes one guard; spec/list.mutations lists them.
 */

#define END 7             /* ticks of time */
#define DRAIN 2
#define MOST 1            /* maximum age of a list that is used: less than DRAIN */
#define CONTACT 3
#define KEEP 2            /* how long a failed call permits an old list: less than CONTACT */
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
byte lastaway = NEVER;    /* the last time at which it was away */
byte left = NEVER;        /* since when the endpoint is leaving */

/*
 * The host's call: under way; answered, so that an answer is in the socket;
 * whether that says that the endpoint is leaving; lost, so that no answer comes.
 */
bool on = false, answered = false, view = false, lost = false;
byte sent = 0;

/*
 * What the host knows: its list and the time as of which that holds, the number of
 * failed calls in a row, and the sending of the last call that indicated an outage.
 */
bool leaving = false;
byte proven = 0, fails = 0, out = NEVER;

/* A request that is bound to the endpoint, and whether the list was usable at the choice. */
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

/* A process that runs reads an answer in its socket before it counts the call as silent. */
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
	/* A call and its result. */
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
