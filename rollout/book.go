// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/sched"
)

// tallyKey identifies a tally of a roll-out.
type tallyKey struct {
	route string
	isNew bool // it counts the new version's answers
}

// Book holds the roll-outs of one host. It is not safe for concurrent use. The exported fields must be set
// before the first call.
type Book struct {
	// Limits bound the requests to a version that may be bad.
	Limits Limits

	rollouts map[string]*rollout   // by service
	own      map[string]float64    // this host's counts since its start, see countName
	peers    map[string]*report    // the last counts of each source
	usual    map[string]*usualPace // by service and route
}

// usualPace is the median pace of the old version's answers.
type usualPace struct {
	sched.Quantile
	samples int
}

// report holds the counts that a source reported last.
type report struct {
	incarnation uint64
	counts      map[string]float64
}

// SetOrders replaces the orders. A version whose order is gone before its roll-out succeeded gets no requests
// for as long as it has endpoints. late says that the host did not run until now, so that orders may be older
// than they look.
func (b *Book) SetOrders(now time.Duration, orders []Order, late bool) {
	next := make(map[string]*rollout, len(orders))
	for _, o := range orders {
		if old := b.rollouts[o.Service]; old != nil && old.Revision == o.Revision {
			next[o.Service] = old
			continue
		}
		next[o.Service] = &rollout{Order: o, begun: now, late: late, counts: make(map[tallyKey]Tally)}
	}
	for service, old := range b.rollouts {
		if next[service] == nil && old.state != Succeeded && old.slots.New > 0 {
			old.state, old.canceled = RolledBack, true
			next[service] = old
		}
	}
	b.rollouts = next
	maps.DeleteFunc(b.own, func(name string, _ float64) bool { return b.find(strings.Split(name, separator)) == nil })
	if len(next) == 0 {
		b.usual = nil
	}
}

// SetSlots sets the slots of all services' endpoints. It returns true if the versions that get no requests have
// changed since its last call.
func (b *Book) SetSlots(now time.Duration, slots map[string]Slots) (changed bool) {
	for service, r := range b.rollouts {
		r.slots = slots[service]
		r.noteShare(now, b.Limits)
		if r.canceled && r.slots.New == 0 {
			delete(b.rollouts, service)
		}
		excluded := r.state == RolledBack
		changed = changed || excluded != r.excluded
		r.excluded = excluded
	}
	return changed
}

// Excludes reports whether a version of a service gets no requests because it was rolled back.
func (b *Book) Excludes(service, version string) bool {
	r := b.rollouts[service]
	return r != nil && r.Version == version && r.state == RolledBack
}

// Active reports whether there are roll-outs.
func (b *Book) Active() bool { return len(b.rollouts) > 0 }

// NewVersion returns the version to which a service's traffic is being moved, and false if there is none.
func (b *Book) NewVersion(service string) (string, bool) {
	r := b.rollouts[service]
	if r == nil {
		return "", false
	}
	return r.Version, true
}

// PicksNew reports whether a request to a service goes to the new version; u is a random number from 0 to 1.
func (b *Book) PicksNew(now time.Duration, service string, u float64) bool {
	r := b.rollouts[service]
	return r != nil && u < r.share(now, b.Limits)
}

// slowFactor is the multiple of the usual pace of answers beyond which one counts as bad, and minSamples the
// number of answers from which the usual pace is known well enough.
const (
	slowFactor = 3
	minSamples = 10
)

// Note counts an answer. pace is the time that it took for each unit of work, or 0 if it failed or that is not
// known.
func (b *Book) Note(service, version, route string, failed bool, pace float64) {
	r := b.rollouts[service]
	if r == nil {
		return
	}
	isNew := version == r.Version
	bad := failed || b.isSlow(service, route, isNew, pace)
	b.count(r, service, route, isNew, Tally{1, indicator(bad)})
}

// isSlow reports whether an answer took several times as long as those of the old version usually do on the
// same route.
func (b *Book) isSlow(service, route string, isNew bool, pace float64) bool {
	if pace <= 0 {
		return false
	}
	key := service + separator + route
	q := b.usual[key]
	if q == nil {
		if b.usual == nil {
			b.usual = make(map[string]*usualPace)
		}
		q = &usualPace{}
		b.usual[key] = q
	}
	slow := q.samples >= minSamples && pace > slowFactor*q.Value
	if !isNew {
		q.Observe(pace, 0.5)
		q.samples++
	}
	return slow
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// count adds a tally to this host's counts and to those of all hosts.
func (b *Book) count(r *rollout, service, route string, isNew bool, t Tally) {
	name := countName(service, r.Revision, route, isNew)
	b.add(name+answers, t.Answers)
	if t.Bad > 0 {
		b.add(name+bad, t.Bad)
	}
	key := tallyKey{route, isNew}
	r.counts[key] = r.counts[key].add(t)
	r.judge()
}

// Parts of the names of counts. No name of a workspace begins with the separator, so that counts can be
// exchanged together with the amounts that workspaces used.
const (
	separator = "\x00"
	answers   = separator + "a"
	bad       = separator + "b"
	vetoes    = separator + "v"
	successes = separator + "s"
)

// countParts is the number of parts of the name of a count: nothing, service, revision of the order, route,
// group of versions, and what is counted. The revision keeps apart the orders for the same version.
const countParts = 6

// groupOld and groupNew are the groups of versions.
const (
	groupOld = "old"
	groupNew = "new"
)

// countName returns the name under which hosts exchange a count, without its last part.
func countName(service string, revision uint64, route string, isNew bool) string {
	group := groupOld
	if isNew {
		group = groupNew
	}
	return strings.Join([]string{"", service, strconv.FormatUint(revision, 10), route, group}, separator)
}

// IsCount reports whether a name is that of a count.
func IsCount(name string) bool { return strings.HasPrefix(name, separator) }

// Counts returns this host's counts since its start, by name. For each roll-out that has ended one count grows
// with each call, so that hosts hear of it which do not know all answers.
func (b *Book) Counts() map[string]float64 {
	for service, r := range b.rollouts {
		name := countName(service, r.Revision, "", true)
		switch r.state {
		case RolledBack:
			b.add(name+vetoes, 1)
		case Succeeded:
			b.add(name+successes, 1)
		}
	}
	return maps.Clone(b.own)
}

// add adds to one of this host's counts.
func (b *Book) add(name string, n float64) {
	if b.own == nil {
		b.own = make(map[string]float64)
	}
	b.own[name] += n
}

// find returns the roll-out that the parts of a count's name identify, or nil.
func (b *Book) find(parts []string) *rollout {
	if len(parts) != countParts {
		return nil
	}
	r := b.rollouts[parts[1]]
	if r == nil || strconv.FormatUint(r.Revision, 10) != parts[2] {
		return nil
	}
	return r
}

// ApplyCounts applies the counts of a source: a host, or a relay's sum over several. Names that are no counts
// are ignored. What a source counted before its first report is not known to be of this order and left out.
func (b *Book) ApplyCounts(now time.Duration, source string, incarnation uint64, counts map[string]float64) {
	if b.peers == nil {
		b.peers = make(map[string]*report)
	}
	old := b.peers[source]
	next := &report{incarnation: incarnation, counts: onlyCounts(counts)}
	b.peers[source] = next
	if old == nil || old.incarnation != incarnation {
		return
	}
	for name, n := range next.counts {
		if delta := n - old.counts[name]; delta > 0 {
			b.applyCount(now, name, delta)
		}
	}
}

// hasCounts reports whether any of the names is that of a count.
func hasCounts(counts map[string]float64) bool {
	for name := range counts {
		if IsCount(name) {
			return true
		}
	}
	return false
}

// onlyCounts returns the entries whose names are those of counts.
func onlyCounts(counts map[string]float64) map[string]float64 {
	if !hasCounts(counts) {
		return nil
	}
	out := maps.Clone(counts)
	maps.DeleteFunc(out, func(name string, _ float64) bool { return !IsCount(name) })
	return out
}

// applyCount adds what others counted under a name.
func (b *Book) applyCount(now time.Duration, name string, delta float64) {
	parts := strings.Split(name, separator)
	r := b.find(parts)
	if r == nil {
		return
	}
	var t Tally
	switch separator + parts[5] {
	case vetoes:
		r.rollBack()
		return
	case successes:
		r.state = Succeeded
		return
	case answers:
		t.Answers = delta
		r.others.add(now, parts[4] == groupNew, delta)
	case bad:
		t.Bad = delta
	}
	key := tallyKey{parts[3], parts[4] == groupNew}
	r.counts[key] = r.counts[key].add(t)
	r.judge()
}

// RetainSources drops the sources that are not named: those that are certainly gone.
func (b *Book) RetainSources(sources map[string]bool) {
	maps.DeleteFunc(b.peers, func(source string, _ *report) bool { return !sources[source] })
}

// Status is the state of a roll-out as a host sees it.
type Status struct {
	Order
	// State is the state that follows from what the host knows.
	State State
	// Share is the share of the host's requests that the new version gets.
	Share float64
	// New and Old are the answers of the versions as far as they are known.
	New, Old Tally
}

// Statuses returns the states of all roll-outs.
func (b *Book) Statuses(now time.Duration) []Status {
	out := make([]Status, 0, len(b.rollouts))
	for _, r := range b.rollouts {
		s := Status{Order: r.Order, State: r.state, Share: r.share(now, b.Limits)}
		if r.moved(now, b.Limits) {
			s.State = Succeeded
		}
		for k, t := range r.counts {
			if k.isNew {
				s.New = s.New.add(t)
			} else {
				s.Old = s.Old.add(t)
			}
		}
		out = append(out, s)
	}
	return out
}

// Hold sets whether nothing is sent to the new version of a service until it is known whether it was rolled back
// before.
func (b *Book) Hold(service string, held bool) {
	if r := b.rollouts[service]; r != nil {
		r.held = held
	}
}

// Adopt puts a final state in force that another host has decided on. It returns false if the order is not
// known.
func (b *Book) Adopt(service string, revision uint64, s State) bool {
	r := b.rollouts[service]
	if r == nil || r.Revision != revision {
		return false
	}
	if s != Running {
		r.state = s
	}
	return true
}
