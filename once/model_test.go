// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// simulation drives Owner and Witness with the actions of spec/once.pml: two
// hosts, each of which may be owner or witness, a network that loses,
// duplicates and reorders messages, crashes, and handovers. The limits are
// small so that full tables are common.
type simulation struct {
	hosts [2]struct {
		owner   *Owner
		witness *Witness
	}
	copies         map[Incarnation]*Witness
	next           Incarnation
	ids            []ID
	records        []RecordRequest
	acks           []ackMessage
	sends          map[string]int
	reportedNotRun map[string]bool
	inflight       map[string]*Record
}

// ackMessage is an acknowledgement in transit from a witness to an owner.
type ackMessage struct {
	id  string
	ack Ack
}

const (
	testMaxGenerations = 2
	testMaxRecords     = 2
	maxPendingAcks     = 64
)

func newSimulation() *simulation {
	w := &simulation{
		copies: make(map[Incarnation]*Witness), sends: make(map[string]int),
		reportedNotRun: make(map[string]bool), inflight: make(map[string]*Record),
	}
	for i := range w.hosts {
		w.restart(i)
	}
	return w
}

// restart gives host i a new incarnation without any records.
func (w *simulation) restart(i int) {
	w.next++
	w.hosts[i].owner = NewOwner(w.next, testMaxGenerations, testMaxRecords)
	w.hosts[i].witness = NewWitness(w.next, testMaxGenerations, testMaxRecords)
	for id, r := range w.inflight {
		if w.ownerOf(r.ID) == nil {
			delete(w.inflight, id)
		}
	}
}

// ownerOf returns the owner of an ID, or nil if its incarnation has ended.
func (w *simulation) ownerOf(id ID) *Owner {
	for _, h := range w.hosts {
		if h.owner.self == id.Owner {
			return h.owner
		}
	}
	return nil
}

// reportNotRun notes that "not run" was reported to a caller.
func (w *simulation) reportNotRun(id ID) {
	w.reportedNotRun[id.String()] = true
}

// checkInvariants runs after every action. It checks that no ID was dispatched
// twice and that no ID reported "not run" was dispatched.
func (w *simulation) checkInvariants(t *rapid.T) {
	for id, n := range w.sends {
		if n > 1 {
			t.Fatalf("%s dispatched %d times", id, n)
		}
		if n > 0 && w.reportedNotRun[id] {
			t.Fatalf("%s dispatched and reported not run", id)
		}
	}
}

// applyVerdict notes a verdict that means "not run" to a caller.
func (w *simulation) applyVerdict(id ID, r *Record, v Verdict) {
	if v == Full || (v == Known && r.State == Refused) {
		w.reportNotRun(id)
	}
}

// submit presents an ID to an owner.
func (w *simulation) submit(id ID, o *Owner) {
	r, v := o.Accept(id)
	w.applyVerdict(id, r, v)
	if v == New {
		w.inflight[id.String()] = r
	}
}

// deliverRecord delivers a RecordRequest to the witness or to its copy and puts
// the answer into the network.
func (w *simulation) deliverRecord(q RecordRequest) {
	ack := AckNotResponsible
	for _, h := range w.hosts {
		if h.witness.Self() == q.ID.Witness {
			ack = h.witness.Record(q)
		}
	}
	if c := w.copies[q.ID.Witness]; c != nil && ack == AckNotResponsible {
		ack = c.Record(q)
	}
	w.acks = append(w.acks, ackMessage{q.ID.String(), ack})
	if len(w.acks) > maxPendingAcks {
		w.acks = w.acks[1:]
	}
}

// closeID closes an ID at its witness or, with atCopy, at the copy that a
// successor holds.
func (w *simulation) closeID(id ID, atCopy bool) {
	target := w.copies[id.Witness]
	for _, h := range w.hosts {
		if !atCopy && h.witness.Self() == id.Witness {
			target = h.witness
		}
	}
	if target == nil {
		return
	}
	if f, _ := target.Close(id); f == FindingNotRun {
		w.reportNotRun(id)
	}
}

// recentIDCount is the number of most recent IDs that actions draw from, so that
// several actions often use the same ID.
const recentIDCount = 4

// pickID draws a recent ID.
func (w *simulation) pickID(t *rapid.T) ID {
	id, _ := pick(t, w.ids[max(0, len(w.ids)-recentIDCount):])
	return id
}

// pick draws an element of list and skips the action if the list is empty.
func pick[T any](t *rapid.T, list []T) (T, bool) {
	var zero T
	if len(list) == 0 {
		t.Skip("nothing to draw from")
		return zero, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "index")], true
}

// pickInflight draws a recent request that has a record at its owner.
func (w *simulation) pickInflight(t *rapid.T) *Record {
	var list []*Record
	for _, id := range w.ids[max(0, len(w.ids)-recentIDCount):] {
		if r := w.inflight[id.String()]; r != nil {
			list = append(list, r)
		}
	}
	r, _ := pick(t, list)
	return r
}

// issue creates an ID with one host as its owner and the other as its witness.
func (w *simulation) issue(t *rapid.T) {
	o := rapid.IntRange(0, 1).Draw(t, "owner")
	h, x := w.hosts[o], w.hosts[1-o]
	p := Prefix{h.owner.self, h.owner.Generation(), x.witness.Self(), x.witness.Generation()}
	w.ids = append(w.ids, ID{p, fmt.Sprintf("u%d", len(w.ids))})
}

// dispatch sends a request if its owner permits it; the connection may be refused.
func (w *simulation) dispatch(t *rapid.T, r *Record) {
	o := w.ownerOf(r.ID)
	if o.Dispatch(r, "e") != nil {
		return
	}
	if rapid.Bool().Draw(t, "connection refused") {
		_ = o.Retract(r)
		return
	}
	w.sends[r.ID.String()]++
	_ = o.Finish(r, rapid.Bool().Draw(t, "answered"))
}

// runWithoutLoss runs a request from submission to dispatch with no message lost.
func (w *simulation) runWithoutLoss(t *rapid.T) {
	id := w.pickID(t)
	o := w.ownerOf(id)
	if o == nil {
		return
	}
	w.submit(id, o)
	r := w.inflight[id.String()]
	if r == nil {
		return
	}
	if q, err := o.BeginRecord(r, "e"); err == nil {
		w.records = append(w.records, q)
		w.deliverRecord(q)
		o.Acknowledge(r, w.acks[len(w.acks)-1].ack)
	}
	w.applyVerdict(id, r, Known)
	w.dispatch(t, r)
}

// TestInvariantsUnderFaults checks, over random sequences of actions, that no
// request is dispatched twice and that none reported "not run" is dispatched.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		actions := map[string]func(*rapid.T){
			"issue": w.issue,
			"issue and submit": func(t *rapid.T) {
				w.issue(t)
				id := w.ids[len(w.ids)-1]
				if o := w.ownerOf(id); o != nil {
					w.submit(id, o)
				}
			},
			"without loss": w.runWithoutLoss,
			"submit": func(t *rapid.T) {
				id := w.pickID(t)
				if o := w.ownerOf(id); o != nil {
					w.submit(id, o)
				}
			},
			"submit to another": func(t *rapid.T) {
				id := w.pickID(t)
				o := w.hosts[rapid.IntRange(0, 1).Draw(t, "host")].owner
				w.submit(id, o)
			},
			"query": func(t *rapid.T) {
				id := w.pickID(t)
				if o := w.ownerOf(id); o != nil {
					r, v := o.Query(id)
					w.applyVerdict(id, r, v)
				}
			},
			"close": func(t *rapid.T) {
				w.closeID(w.pickID(t), rapid.Bool().Draw(t, "at copy"))
			},
			"begin record": func(t *rapid.T) {
				r := w.pickInflight(t)
				if q, err := w.ownerOf(r.ID).BeginRecord(r, "e"); err == nil {
					w.records = append(w.records, q)
				}
			},
			"deliver record": func(t *rapid.T) {
				q, _ := pick(t, w.records)
				w.deliverRecord(q)
			},
			"deliver ack": func(t *rapid.T) {
				a, _ := pick(t, w.acks)
				if r := w.inflight[a.id]; r != nil {
					w.ownerOf(r.ID).Acknowledge(r, a.ack)
				}
			},
			"dispatch": func(t *rapid.T) { w.dispatch(t, w.pickInflight(t)) },
			"give up": func(t *rapid.T) {
				r := w.pickInflight(t)
				if w.ownerOf(r.ID).Refuse(r) == nil {
					w.reportNotRun(r.ID)
				}
			},
			"advance": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "host")
				w.hosts[i].owner.Advance()
				w.hosts[i].witness.Advance()
				for _, c := range w.copies {
					c.Advance()
				}
			},
			"leave": func(t *rapid.T) {
				x := w.hosts[rapid.IntRange(0, 1).Draw(t, "host")].witness
				c, err := NewWitnessCopy(x.PrepareHandover(), testMaxGenerations, testMaxRecords)
				if err != nil {
					t.Fatal(err)
				}
				w.copies[x.Self()] = c
			},
			"crash": func(t *rapid.T) {
				w.restart(rapid.IntRange(0, 1).Draw(t, "host"))
			},
			"": w.checkInvariants,
		}
		t.Repeat(actions)
	})
}
