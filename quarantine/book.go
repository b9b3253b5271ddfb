// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Figures of the verdict and of what is told.
const (
	// forget is the time after which a crash counts no more: a caller may come again by the minute, and a request that
	// is answered in the meantime is cleared by that.
	forget = time.Hour
	// firstHold and longestHold bound the time for which a request is refused; it doubles with each time. A request that is held
	// costs its caller an answer that it would not have had, and one that is let go too early costs an endpoint and the
	// requests beside it, some ten.
	firstHold   = 10 * time.Minute
	longestHold = 24 * time.Hour
	// tellFor is the time for which evidence is told after it came: ten heartbeats, so that a tenth of them may be lost.
	tellFor = 2 * time.Second
	// mostNews and mostHolds bound what is told at once, in entries of some 40 bytes; holds are told in turn.
	mostNews  = 32
	mostHolds = 2
	// mostSuspects bounds the requests that are remembered, some 200 bytes each.
	mostSuspects = 10000
)

// crash is the end of an endpoint under a request.
type crash struct {
	at, ran time.Duration // when it ended, and for how long it had had the request
	mute    bool          // nothing of an answer had come
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
	kept    bool             // its hold stands in the store
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

// Book is what a host knows of requests under which endpoints crashed. The zero value knows nothing. It is not safe for
// concurrent use.
type Book struct {
	// Host names this host.
	Host string
	// Endpoints is the number of endpoints in use.
	Endpoints int

	suspects map[Fingerprint]*suspect
	deaths   map[string]death // by life
	held     []Fingerprint    // those that were held, in the order in which they are told
	turn     int
	news     []news // what is told, in the order in which it came
}

// Empty says that no request is known: none need be looked up.
func (b *Book) Empty() bool { return len(b.suspects) == 0 }

// Suspects is the number of requests under which an endpoint crashed, those that are held included.
func (b *Book) Suspects() int { return len(b.suspects) }

// Lives names the runs of endpoints that crashed under a request, by what this host knows.
func (b *Book) Lives(f Fingerprint) []string {
	if s := b.suspects[f]; s != nil {
		return slices.Sorted(maps.Keys(s.crashes))
	}
	return nil
}

// suspect returns what is known of a request, which is made if nothing is.
func (b *Book) suspect(f Fingerprint) *suspect {
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
func (b *Book) evict() {
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
func (b *Book) drop(f Fingerprint) {
	delete(b.suspects, f)
	b.held = slices.DeleteFunc(b.held, func(g Fingerprint) bool { return f == g })
}

// End is the end of an endpoint under a request of this host.
type End struct {
	// Life is the run of the endpoint's process that ended, At when it did.
	Life string
	At   time.Duration
	// Ran is for how long it had had the request, and Mute says that nothing of an answer had come.
	Ran  time.Duration
	Mute bool
	// Request says what the request is, for operators.
	Request string
}

// Crashed notes that an endpoint ended while it had a request of this host. It returns true if that is new.
func (b *Book) Crashed(now time.Duration, f Fingerprint, e End) bool {
	if !b.crashed(now, f, e.Life, crash{e.At, e.Ran, e.Mute, b.Host}) {
		return false
	}
	b.suspects[f].request = e.Request
	return true
}

// crashed notes that an endpoint ended while it had a request of this host, or of another one.
func (b *Book) crashed(now time.Duration, f Fingerprint, life string, c crash) bool {
	if s := b.suspects[f]; s != nil {
		if _, known := s.crashes[life]; known || c.at <= s.cleared {
			return false
		}
	}
	s := b.suspect(f)
	s.crashes[life], s.newest = c, max(s.newest, c.at)
	b.died(life, c.at)
	b.news = append(b.news, news{now, f, life, c.host == b.Host})
	if len(s.crashes) > 1 && !s.wide {
		s.wide = true
		b.repeat(now, f, s, life)
	}
	if now >= s.until && (s.times > 0 || b.crashes(now, f)) {
		s.times++
		b.hold(f, s, now+min(firstHold<<min(s.times-1, 8), longestHold))
	}
	return true
}

// died notes the end of an endpoint.
func (b *Book) died(life string, at time.Duration) {
	if b.deaths == nil {
		b.deaths = make(map[string]death)
	}
	if _, known := b.deaths[life]; !known {
		b.deaths[life] = death{at: at}
	}
}

// repeat tells what was known of a request before a crash once more: only some hosts were told.
func (b *Book) repeat(now time.Duration, f Fingerprint, s *suspect, but string) {
	for life := range s.crashes {
		if life != but {
			b.news = append(b.news, news{now, f, life, false})
		}
	}
}

// hold refuses a request until a moment. After it one more crash is enough to hold it again.
func (b *Book) hold(f Fingerprint, s *suspect, until time.Duration) {
	s.until = until
	if !slices.Contains(b.held, f) {
		b.held = append(b.held, f)
	}
	for life := range s.crashes {
		if d := b.deaths[life]; d.by == (Fingerprint{}) {
			b.deaths[life] = death{d.at, f}
		}
	}
}

// release refuses a request no more.
func (b *Book) release(f Fingerprint, s *suspect) {
	s.until, s.times, s.kept = 0, 0, false
	b.held = slices.DeleteFunc(b.held, func(g Fingerprint) bool { return f == g })
	for life, d := range b.deaths {
		if d.by == f {
			b.deaths[life] = death{at: d.at}
		}
	}
}

// Answered notes that a request was answered whole. It returns true if the request was suspected.
func (b *Book) Answered(now time.Duration, f Fingerprint) bool {
	return b.clear(now, f, now, true)
}

// clear drops the crashes under a request up to a moment at which it was answered.
func (b *Book) clear(now time.Duration, f Fingerprint, at time.Duration, own bool) bool {
	s := b.suspects[f]
	if s == nil || at <= s.cleared {
		return false
	}
	s.cleared = at
	b.news = append(b.news, news{at: now, fingerprint: f, own: own})
	maps.DeleteFunc(s.crashes, func(_ string, c crash) bool { return c.at <= at })
	if s.newest <= at {
		b.release(f, s)
	}
	return true
}

// Held tells whether a request is refused now, and for how long yet.
func (b *Book) Held(now time.Duration, f Fingerprint) (left time.Duration, held bool) {
	s := b.suspects[f]
	if s == nil || now >= s.until {
		return 0, false
	}
	return s.until - now, true
}

// HeldNow is the number of requests that are refused now.
func (b *Book) HeldNow(now time.Duration) int {
	n := 0
	for _, f := range b.held {
		if _, held := b.Held(now, f); held {
			n++
		}
	}
	return n
}

// Sweep forgets what is too old to count; call it now and then.
func (b *Book) Sweep(now time.Duration) {
	for f, s := range b.suspects {
		if now >= s.until && now-max(s.newest, s.cleared, s.until) >= forget {
			b.drop(f)
		}
	}
	maps.DeleteFunc(b.deaths, func(_ string, d death) bool { return now-d.at >= forget })
}

// Tell gives what is to be told: evidence that came lately, the newest first, and some of the requests that are held, so that
// hosts that start learn of all of them in time.
func (b *Book) Tell(now time.Duration, to Scope) Told {
	old := slices.IndexFunc(b.news, func(n news) bool { return now-n.at < tellFor })
	if old < 0 {
		old = len(b.news)
	}
	b.news = slices.Delete(b.news, 0, old)
	var t Told
	for i := len(b.news) - 1; i >= 0 && len(t.Crashes)+len(t.Clears) < mostNews; i-- {
		n := &b.news[i]
		if s := b.suspects[n.fingerprint]; s != nil && (to == All || (to == Own && n.own) || (to == Repeated && s.wide)) {
			s.tell(now, n, &t)
		}
	}
	for range min(mostHolds, len(b.held)) {
		b.turn = (b.turn + 1) % len(b.held)
		f := b.held[b.turn]
		if left, held := b.Held(now, f); held {
			s := b.suspects[f]
			t.Holds = append(t.Holds, Hold{
				Fingerprint: f, Request: s.request, Kept: s.kept,
				LeftMS: left.Milliseconds(), Times: s.times, AgeMS: (now - s.newest).Milliseconds(),
			})
		}
	}
	return t
}

// tell adds one piece of news, if it still holds.
func (s *suspect) tell(now time.Duration, n *news, t *Told) {
	if n.life == "" {
		t.Clears = append(t.Clears, Clear{n.fingerprint, (now - s.cleared).Milliseconds()})
	} else if c, ok := s.crashes[n.life]; ok {
		t.Crashes = append(t.Crashes, Crash{n.fingerprint, n.life, (now - c.at).Milliseconds(), c.ran.Milliseconds(), c.mute, c.host})
	}
}

// Hear takes what another host tells. It returns true if some of it is new and concerns all hosts.
func (b *Book) Hear(now time.Duration, t *Told) bool {
	fresh := false
	for _, c := range t.Clears {
		if b.clear(now, c.Fingerprint, aged(now, c.AgeMS), false) {
			fresh = fresh || b.suspects[c.Fingerprint].wide
		}
	}
	for _, c := range t.Crashes {
		if len(c.Life) > longestName || len(c.Host) > longestName {
			continue
		}
		if b.crashed(now, c.Fingerprint, c.Life, crash{aged(now, c.AgeMS), spent(c.RanMS), c.Mute, c.Host}) {
			fresh = fresh || b.suspects[c.Fingerprint].wide
		}
	}
	for _, h := range t.Holds {
		b.hearHold(now, h)
	}
	return fresh
}

// longestName bounds the names of endpoints' lives, hosts and requests that other hosts tell, in bytes.
const longestName = 200

// hearHold takes a hold that another host tells, unless the request was answered since.
func (b *Book) hearHold(now time.Duration, h Hold) {
	left := time.Duration(min(h.LeftMS, longestHold.Milliseconds())) * time.Millisecond
	if left <= 0 || h.Times <= 0 {
		return
	}
	s := b.suspect(h.Fingerprint)
	newest := aged(now, h.AgeMS)
	if newest <= s.cleared {
		return
	}
	if s.request == "" && len(h.Request) <= longestName {
		s.request = h.Request
	}
	s.kept = s.kept || h.Kept
	if now+left < s.until+holdStep {
		return
	}
	s.wide = true
	s.times, s.newest = max(s.times, min(h.Times, mostTimes)), max(s.newest, newest)
	b.hold(h.Fingerprint, s, now+left)
}

// holdStep is the time by which another host's hold must end later than the own one to be taken: with less, the times that
// datagrams take would add up.
const holdStep = time.Second

// mostTimes bounds the holds that another host may tell of.
const mostTimes = 16
