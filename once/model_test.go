// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// world drives the real machines with the actions of spec/once.pml: two hosts
// of which either may own or witness, a network that loses, doubles and
// reorders, crashes and hand-overs. Small bounds make full tables common.
type world struct {
	hosts [2]struct {
		owner   *Owner
		witness *Witness
	}
	copies   map[Incarnation]*Witness
	next     Incarnation
	ids      []ID
	records  []RecordRequest
	acks     []ackMessage
	sends    map[string]int
	told     map[string]bool
	inflight map[string]*Record
}

type ackMessage struct {
	id  string
	ack Ack
}

const (
	testKeep  = 2
	testLimit = 2
	maxNet    = 64
)

func newWorld() *world {
	w := &world{
		copies: make(map[Incarnation]*Witness), sends: make(map[string]int),
		told: make(map[string]bool), inflight: make(map[string]*Record),
	}
	for i := range w.hosts {
		w.restart(i)
	}
	return w
}

// restart gives a host a new incarnation without memory.
func (w *world) restart(i int) {
	w.next++
	w.hosts[i].owner = NewOwner(w.next, testKeep, testLimit)
	w.hosts[i].witness = NewWitness(w.next, testKeep, testLimit)
	for id, r := range w.inflight {
		if w.ownerOf(r.ID) == nil {
			delete(w.inflight, id)
		}
	}
}

func (w *world) ownerOf(id ID) *Owner {
	for _, h := range w.hosts {
		if h.owner.self == id.Owner {
			return h.owner
		}
	}
	return nil
}

func (w *world) tell(id ID) {
	w.told[id.String()] = true
}

// check holds the promises; it runs after every action.
func (w *world) check(t *rapid.T) {
	for id, n := range w.sends {
		if n > 1 {
			t.Fatalf("%s dispatched %d times", id, n)
		}
		if n > 0 && w.told[id] {
			t.Fatalf("%s dispatched and told not run", id)
		}
	}
}

// note takes what a verdict tells a caller.
func (w *world) note(id ID, r *Record, v Verdict) {
	if v == Full || (v == Known && r.State == Refused) {
		w.tell(id)
	}
}

func (w *world) submit(id ID, o *Owner) {
	r, v := o.Accept(id)
	w.note(id, r, v)
	if v == New {
		w.inflight[id.String()] = r
	}
}

func (w *world) deliverRecord(q RecordRequest) {
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
	if len(w.acks) > maxNet {
		w.acks = w.acks[1:]
	}
}

// close asks the witness itself or the copy that a successor holds.
func (w *world) close(id ID, atCopy bool) {
	at := w.copies[id.Witness]
	for _, h := range w.hosts {
		if !atCopy && h.witness.Self() == id.Witness {
			at = h.witness
		}
	}
	if at == nil {
		return
	}
	if f, _ := at.Close(id); f == FindingNotRun {
		w.tell(id)
	}
}

// recentIDs bounds the IDs that actions draw from, so that the same ones meet often.
const recentIDs = 4

func (w *world) pickID(t *rapid.T) ID {
	id, _ := pick(t, w.ids[max(0, len(w.ids)-recentIDs):])
	return id
}

func pick[T any](t *rapid.T, list []T) (T, bool) {
	var zero T
	if len(list) == 0 {
		t.Skip("nothing to draw from")
		return zero, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "index")], true
}

func (w *world) pickInflight(t *rapid.T) *Record {
	var list []*Record
	for _, id := range w.ids[max(0, len(w.ids)-recentIDs):] {
		if r := w.inflight[id.String()]; r != nil {
			list = append(list, r)
		}
	}
	r, _ := pick(t, list)
	return r
}

// issue draws an ID that one host owns and the other witnesses.
func (w *world) issue(t *rapid.T) {
	o := rapid.IntRange(0, 1).Draw(t, "owner")
	h, x := w.hosts[o], w.hosts[1-o]
	p := Prefix{h.owner.self, h.owner.Generation(), x.witness.Self(), x.witness.Generation()}
	w.ids = append(w.ids, ID{p, fmt.Sprintf("u%d", len(w.ids))})
}

// dispatch sends a request if the owner may, or finds the connection refused.
func (w *world) dispatch(t *rapid.T, r *Record) {
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

// wholeWay brings an ID as far as it gets when no message is lost.
func (w *world) wholeWay(t *rapid.T) {
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
	w.note(id, r, Known)
	w.dispatch(t, r)
}

func TestMachinesKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		actions := map[string]func(*rapid.T){
			"issue": w.issue,
			"issue and submit": func(t *rapid.T) {
				w.issue(t)
				id := w.ids[len(w.ids)-1]
				if o := w.ownerOf(id); o != nil {
					w.submit(id, o)
				}
			},
			"whole way": w.wholeWay,
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
					w.note(id, r, v)
				}
			},
			"close": func(t *rapid.T) {
				w.close(w.pickID(t), rapid.Bool().Draw(t, "at copy"))
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
					w.tell(r.ID)
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
				c, err := NewWitnessCopy(x.PrepareHandover(), testKeep, testLimit)
				if err != nil {
					t.Fatal(err)
				}
				w.copies[x.Self()] = c
			},
			"crash": func(t *rapid.T) {
				w.restart(rapid.IntRange(0, 1).Draw(t, "host"))
			},
			"": w.check,
		}
		t.Repeat(actions)
	})
}
