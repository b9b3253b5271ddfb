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
	s := &simulation{
		copies: make(map[Incarnation]*Witness), sends: make(map[string]int),
		reportedNotRun: make(map[string]bool), inflight: make(map[string]*Record),
	}
	for i := range s.hosts {
		s.restart(i)
	}
	return s
}

// restart gives host i a new incarnation without any records.
func (s *simulation) restart(i int) {
	s.next++
	s.hosts[i].owner = NewOwner(s.next, testMaxGenerations, testMaxRecords)
	s.hosts[i].witness = NewWitness(s.next, testMaxGenerations, testMaxRecords)
	for id, r := range s.inflight {
		if s.ownerOf(r.ID) == nil {
			delete(s.inflight, id)
		}
	}
}

// ownerOf returns the owner of an ID, or nil if its incarnation has ended.
func (s *simulation) ownerOf(id ID) *Owner {
	for _, h := range s.hosts {
		if h.owner.self == id.Owner {
			return h.owner
		}
	}
	return nil
}

// reportNotRun notes that "not run" was reported to a caller.
func (s *simulation) reportNotRun(id ID) {
	s.reportedNotRun[id.String()] = true
}

// checkInvariants runs after every action. It checks that no ID was dispatched
// twice and that no ID reported "not run" was dispatched.
func (s *simulation) checkInvariants(t *rapid.T) {
	for id, n := range s.sends {
		if n > 1 {
			t.Fatalf("%s dispatched %d times", id, n)
		}
		if n > 0 && s.reportedNotRun[id] {
			t.Fatalf("%s dispatched and reported not run", id)
		}
	}
}

// applyVerdict notes a verdict that means "not run" to a caller.
func (s *simulation) applyVerdict(id ID, r *Record, v Verdict) {
	if v == Full || (v == Known && r.State == Refused) {
		s.reportNotRun(id)
	}
}

// submit presents an ID to an owner.
func (s *simulation) submit(id ID, o *Owner) {
	r, v := o.Accept(id)
	s.applyVerdict(id, r, v)
	if v == New {
		s.inflight[id.String()] = r
	}
}

// deliverRecord delivers a RecordRequest to the witness or to its copy and puts
// the answer into the network.
func (s *simulation) deliverRecord(q RecordRequest) {
	ack := AckNotResponsible
	for _, h := range s.hosts {
		if h.witness.Self() == q.ID.Witness {
			ack = h.witness.Record(q)
		}
	}
	if c := s.copies[q.ID.Witness]; c != nil && ack == AckNotResponsible {
		ack = c.Record(q)
	}
	s.acks = append(s.acks, ackMessage{q.ID.String(), ack})
	if len(s.acks) > maxPendingAcks {
		s.acks = s.acks[1:]
	}
}

// closeID closes an ID at its witness or, with atCopy, at the copy that a
// successor holds.
func (s *simulation) closeID(id ID, atCopy bool) {
	target := s.copies[id.Witness]
	for _, h := range s.hosts {
		if !atCopy && h.witness.Self() == id.Witness {
			target = h.witness
		}
	}
	if target == nil {
		return
	}
	if f, _ := target.Close(id); f == FindingNotRun {
		s.reportNotRun(id)
	}
}

// recentIDCount is the number of most recent IDs that actions draw from, so that
// several actions often use the same ID.
const recentIDCount = 4

// pickID draws a recent ID.
func (s *simulation) pickID(t *rapid.T) ID {
	id, _ := pick(t, s.ids[max(0, len(s.ids)-recentIDCount):])
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
func (s *simulation) pickInflight(t *rapid.T) *Record {
	var list []*Record
	for _, id := range s.ids[max(0, len(s.ids)-recentIDCount):] {
		if r := s.inflight[id.String()]; r != nil {
			list = append(list, r)
		}
	}
	r, _ := pick(t, list)
	return r
}

// issue creates an ID with one host as its owner and the other as its witness.
func (s *simulation) issue(t *rapid.T) {
	o := rapid.IntRange(0, 1).Draw(t, "owner")
	h, x := s.hosts[o], s.hosts[1-o]
	p := Prefix{h.owner.self, h.owner.Generation(), x.witness.Self(), x.witness.Generation()}
	s.ids = append(s.ids, ID{p, fmt.Sprintf("u%d", len(s.ids))})
}

// dispatch sends a request if its owner permits it; the connection may be refused.
func (s *simulation) dispatch(t *rapid.T, r *Record) {
	o := s.ownerOf(r.ID)
	if o.Dispatch(r, "e") != nil {
		return
	}
	if rapid.Bool().Draw(t, "connection refused") {
		_ = o.Retract(r)
		return
	}
	s.sends[r.ID.String()]++
	_ = o.Finish(r, rapid.Bool().Draw(t, "answered"))
}

// runWithoutLoss runs a request from submission to dispatch with no message lost.
func (s *simulation) runWithoutLoss(t *rapid.T) {
	id := s.pickID(t)
	o := s.ownerOf(id)
	if o == nil {
		return
	}
	s.submit(id, o)
	r := s.inflight[id.String()]
	if r == nil {
		return
	}
	if q, err := o.BeginRecord(r, "e"); err == nil {
		s.records = append(s.records, q)
		s.deliverRecord(q)
		o.Acknowledge(r, s.acks[len(s.acks)-1].ack)
	}
	s.applyVerdict(id, r, Known)
	s.dispatch(t, r)
}

// TestInvariantsUnderFaults checks, over random sequences of actions, that no
// request is dispatched twice and that none reported "not run" is dispatched.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		actions := map[string]func(*rapid.T){
			"issue": s.issue,
			"issue and submit": func(t *rapid.T) {
				s.issue(t)
				id := s.ids[len(s.ids)-1]
				if o := s.ownerOf(id); o != nil {
					s.submit(id, o)
				}
			},
			"without loss": s.runWithoutLoss,
			"submit": func(t *rapid.T) {
				id := s.pickID(t)
				if o := s.ownerOf(id); o != nil {
					s.submit(id, o)
				}
			},
			"submit to another": func(t *rapid.T) {
				id := s.pickID(t)
				o := s.hosts[rapid.IntRange(0, 1).Draw(t, "host")].owner
				s.submit(id, o)
			},
			"query": func(t *rapid.T) {
				id := s.pickID(t)
				if o := s.ownerOf(id); o != nil {
					r, v := o.Query(id)
					s.applyVerdict(id, r, v)
				}
			},
			"close": func(t *rapid.T) {
				s.closeID(s.pickID(t), rapid.Bool().Draw(t, "at copy"))
			},
			"begin record": func(t *rapid.T) {
				r := s.pickInflight(t)
				if q, err := s.ownerOf(r.ID).BeginRecord(r, "e"); err == nil {
					s.records = append(s.records, q)
				}
			},
			"deliver record": func(t *rapid.T) {
				q, _ := pick(t, s.records)
				s.deliverRecord(q)
			},
			"deliver ack": func(t *rapid.T) {
				a, _ := pick(t, s.acks)
				if r := s.inflight[a.id]; r != nil {
					s.ownerOf(r.ID).Acknowledge(r, a.ack)
				}
			},
			"dispatch": func(t *rapid.T) { s.dispatch(t, s.pickInflight(t)) },
			"give up": func(t *rapid.T) {
				r := s.pickInflight(t)
				if s.ownerOf(r.ID).Refuse(r) == nil {
					s.reportNotRun(r.ID)
				}
			},
			"advance": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "host")
				s.hosts[i].owner.Advance()
				s.hosts[i].witness.Advance()
				for _, c := range s.copies {
					c.Advance()
				}
			},
			"leave": func(t *rapid.T) {
				x := s.hosts[rapid.IntRange(0, 1).Draw(t, "host")].witness
				c, err := NewWitnessCopy(x.PrepareHandover(), testMaxGenerations, testMaxRecords)
				if err != nil {
					t.Fatal(err)
				}
				s.copies[x.Self()] = c
			},
			"crash": func(t *rapid.T) {
				s.restart(rapid.IntRange(0, 1).Draw(t, "host"))
			},
			"": s.checkInvariants,
		}
		t.Repeat(actions)
	})
}
