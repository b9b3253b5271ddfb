// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Figures of what is remembered, and for how long.
const (
	// forget is the time after which a crash counts no more: a caller may come again by the minute, and a request that
	// is answered in the meantime is cleared by that.
	forget = time.Hour
	// firstHold and longestHold bound the time for which a request is refused; it doubles with each time. A request that is held
	// costs its caller an answer that it would not have had, and one that is let go too early costs an endpoint and the
	// requests beside it, some ten.
	firstHold   = 10 * time.Minute
	longestHold = 24 * time.Hour
	// mostSuspects bounds the requests that are remembered, some 200 bytes each.
	mostSuspects = 10000
)

// crash is the end of an endpoint under a request.
type crash struct {
	at, ran time.Duration // when it ended, and for how long it had had the request
	mute    bool          // nothing of an answer had come
	unsure  bool          // the endpoint may have ended for another reason that is known
	host    string        // who saw it
}

// death is the end of an endpoint, and the request that is known to have caused it, if any.
type death struct {
	at time.Duration
	by Fingerprint
}

// suspect is what is known of a request.
type suspect struct {
	request string           // what it is, for operators; empty where only other hosts know
	crashes map[string]crash // by life
	keptAt  time.Duration    // when its hold was written where it outlasts all hosts, 0 if it was not
	onTrial bool             // it is sent only if that is granted
	trials  int              // sends that were granted since it was answered last, by any host
	tried   time.Duration    // when the newest of them was, 0 for never
	cleared time.Duration    // when it was answered last, by any host
	until   time.Duration    // until when it is held
	times   int              // how often it was held
	newest  time.Duration    // when the last of its crashes was
	wide    bool             // two endpoints crashed under it once, so that all hosts are told
}

// news is what this host learned at a moment: the end of a life under a request, or, with an empty life, that the request
// was answered.
type news struct {
	at          time.Duration
	fingerprint Fingerprint
	life        string
	own         bool // seen by this host, not told to it
}

// Registry is what a host knows of requests under which endpoints crashed. The zero value knows nothing. It is not safe for
// concurrent use.
type Registry struct {
	// Host names this host.
	Host string
	// Endpoints is the number of endpoints in use.
	Endpoints int

	suspects map[Fingerprint]*suspect
	deaths   map[string]death // by life
	watched  []Fingerprint    // those that are on trial or held, or were held, in the order in which they are told
	turn     int
	news     []news        // what is told, in the order in which it came
	freed    []Fingerprint // those whose records are to be removed by this host
}

// Empty says that no request is known: none need be looked up.
func (b *Registry) Empty() bool { return len(b.suspects) == 0 }

// Suspects is the number of requests under which an endpoint crashed, those that are held included.
func (b *Registry) Suspects() int { return len(b.suspects) }

// Incarnations names the runs of endpoints that crashed under a request, by what this host knows.
func (b *Registry) Incarnations(f Fingerprint) []string {
	if s := b.suspects[f]; s != nil {
		return slices.Sorted(maps.Keys(s.crashes))
	}
	return nil
}

// suspect returns what is known of a request, which is made if nothing is.
func (b *Registry) suspect(f Fingerprint) *suspect {
	s := b.suspects[f]
	if s == nil {
		if b.suspects == nil {
			b.suspects = make(map[Fingerprint]*suspect)
		}
		if len(b.suspects) >= mostSuspects {
			b.evict()
		}
		s = &suspect{crashes: make(map[string]crash), cleared: -forget}
		b.suspects[f] = s
	}
	return s
}

// evict forgets the suspect with the fewest crashes, of those the one whose last was the longest ago, so that a flood of
// requests under which one endpoint crashed does not wash out what is held.
func (b *Registry) evict() {
	var worst Fingerprint
	var least *suspect
	for f, s := range b.suspects {
		if least == nil || s.less(least) {
			worst, least = f, s
		}
	}
	b.drop(worst)
}

// less orders suspects by what is lost if they are forgotten.
func (s *suspect) less(o *suspect) bool {
	if s.times != o.times {
		return s.times < o.times
	}
	if len(s.crashes) != len(o.crashes) {
		return len(s.crashes) < len(o.crashes)
	}
	return s.newest < o.newest
}

// drop forgets a suspect.
func (b *Registry) drop(f Fingerprint) {
	delete(b.suspects, f)
	b.watched = slices.DeleteFunc(b.watched, func(g Fingerprint) bool { return f == g })
}

// Termination is the end of an endpoint under a request of this host.
type Termination struct {
	// Incarnation is the run of the endpoint's process that ended, At when it did.
	Incarnation string
	At          time.Duration
	// RequestAge is for how long it had had the request, and Mute says that nothing of an answer had come.
	RequestAge time.Duration
	NoResponse bool
	// Inconclusive says that it may have ended for another reason that is known: it was leaving, or this host did not run meanwhile.
	Inconclusive bool
	// Request says what the request is, for operators.
	Request string
}

// NoteCrash notes that an endpoint ended while it had a request of this host. It returns true if that is new.
func (b *Registry) NoteCrash(now time.Duration, f Fingerprint, e Termination) bool {
	if !b.crashed(now, f, e.Incarnation, crash{e.At, e.RequestAge, e.NoResponse && !e.Inconclusive, e.Inconclusive, b.Host}) {
		return false
	}
	b.suspects[f].request = e.Request
	return true
}

// crashed notes that an endpoint ended while it had a request of this host, or of another one.
func (b *Registry) crashed(now time.Duration, f Fingerprint, life string, c crash) bool {
	if s := b.suspects[f]; s != nil {
		if _, known := s.crashes[life]; known || c.at <= s.cleared {
			return false
		}
	}
	s := b.suspect(f)
	s.crashes[life], s.newest = c, max(s.newest, c.at)
	if !c.unsure {
		b.died(life, c.at)
	}
	b.news = append(b.news, news{now, f, life, c.host == b.Host})
	if len(s.crashes) > 1 && !s.wide {
		s.wide = true
		b.repeat(now, f, s, life)
	}
	if len(s.crashes) >= trialEnds || s.onTrial {
		b.watch(f, s)
	}
	if now >= s.until && (s.times > 0 || b.crashes(now, f)) {
		s.times++
		b.hold(f, s, now+holdTime(s.times))
	}
	return true
}

// died notes the end of an endpoint.
func (b *Registry) died(life string, at time.Duration) {
	if b.deaths == nil {
		b.deaths = make(map[string]death)
	}
	if _, known := b.deaths[life]; !known {
		b.deaths[life] = death{at: at}
	}
}

// repeat tells what was known of a request before a crash once more: only some hosts were told.
func (b *Registry) repeat(now time.Duration, f Fingerprint, s *suspect, but string) {
	for life := range s.crashes {
		if life != but {
			b.news = append(b.news, news{now, f, life, false})
		}
	}
}

// holdTime is the time for which a request is held that was held so many times, this one included.
func holdTime(times int) time.Duration {
	return min(firstHold<<min(max(times, 1)-1, mostDoublings), longestHold)
}

// mostDoublings is the number of doublings after which a hold is the longest.
const mostDoublings = 8

// watch puts a request on trial, and has it told before others.
func (b *Registry) watch(f Fingerprint, s *suspect) {
	s.onTrial = true
	i := slices.Index(b.watched, f)
	if i < 0 {
		i = len(b.watched)
		b.watched = append(b.watched, f)
	}
	b.turn = i
}

// hold refuses a request until a moment. After it the request is on trial, with one send before it is held again.
func (b *Registry) hold(f Fingerprint, s *suspect, until time.Duration) {
	s.until, s.trials = until, max(s.trials, mostTrials)
	b.watch(f, s)
	for life := range s.crashes {
		if d := b.deaths[life]; d.by == (Fingerprint{}) {
			b.deaths[life] = death{d.at, f}
		}
	}
}

// release refuses a request no more.
func (b *Registry) release(f Fingerprint, s *suspect) {
	s.until, s.times, s.keptAt, s.onTrial, s.trials, s.tried = 0, 0, 0, false, 0, 0
	b.watched = slices.DeleteFunc(b.watched, func(g Fingerprint) bool { return f == g })
	for life, d := range b.deaths {
		if d.by == f {
			b.deaths[life] = death{at: d.at}
		}
	}
}

// NoteAnswer notes that a request was answered whole. It returns true if the request was suspected.
func (b *Registry) NoteAnswer(now time.Duration, f Fingerprint) bool {
	return b.clear(now, f, now, true)
}

// clear drops the crashes under a request up to a moment at which it was answered.
func (b *Registry) clear(now time.Duration, f Fingerprint, at time.Duration, own bool) bool {
	s := b.suspects[f]
	if s == nil || at <= s.cleared {
		return false
	}
	s.cleared = at
	b.news = append(b.news, news{at: now, fingerprint: f, own: own})
	maps.DeleteFunc(s.crashes, func(_ string, c crash) bool { return c.at <= at })
	if max(s.newest, s.tried) <= at {
		if own && (s.keptAt > 0 || s.trials > 0) {
			b.freed = append(b.freed, f)
		}
		b.release(f, s)
	}
	return true
}

// Held tells whether a request is refused now, and for how long yet.
func (b *Registry) Held(now time.Duration, f Fingerprint) (left time.Duration, held bool) {
	s := b.suspects[f]
	if s == nil || now >= s.until {
		return 0, false
	}
	return s.until - now, true
}

// CountHeld is the number of requests that are refused now.
func (b *Registry) CountHeld(now time.Duration) int {
	n := 0
	for _, f := range b.watched {
		if _, held := b.Held(now, f); held {
			n++
		}
	}
	return n
}

// Sweep forgets what is too old to count; call it now and then.
func (b *Registry) Sweep(now time.Duration) {
	for f, s := range b.suspects {
		if now >= s.until && now-max(s.newest, s.cleared, s.until) >= forget {
			b.drop(f)
		}
	}
	maps.DeleteFunc(b.deaths, func(_ string, d death) bool { return now-d.at >= forget })
}
