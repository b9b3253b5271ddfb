// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/dev"
	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/once"
	"github.com/heathkeel/heathkeel/problem"
	"github.com/heathkeel/heathkeel/router"
)

// scene is one call with its owner, its witness and a third host.
type scene struct {
	*rig
	t                     *testing.T
	id                    string
	owner, witness, third *dev.Host
	ownerGate, witGate    *gate
}

// newScene picks an owner whose witness is another host than the one asked later.
func newScene(t *testing.T, r *rig, unique string) *scene {
	s := &scene{rig: r, t: t}
	asked := r.StartedHosts[0]
	for _, a := range r.address(t, asked).Addresses {
		if a.Address == asked.Address || a.Witness == "" {
			continue
		}
		s.id = a.OncePrefix + unique
		s.owner, s.witness = r.node(a.Address), r.node(a.Witness)
	}
	must.NotNil(t, s.owner)
	for _, n := range r.StartedHosts {
		if n != s.owner && n != s.witness {
			s.third = n
		}
	}
	s.ownerGate, s.witGate = r.gateOf(s.owner), r.gateOf(s.witness)
	return s
}

// start makes the call at the owner and returns a function that waits for its end.
func (s *scene) start() func() reply {
	done := make(chan reply, 1)
	go func() { done <- push(s.owner.Address, s.id) }()
	return func() reply { return <-done }
}

// killOwnerAt calls a service at the owner, kills the owner at a stage of the
// call, and asks the third host what became of it.
func (s *scene) killOwnerAt(stage router.Stage, service string) reply {
	reached, _ := s.ownerGate.at(stage)
	done := make(chan reply, 1)
	go func() { done <- call(s.owner.Address, service, s.id) }()
	<-reached
	s.owner.Kill()
	<-done
	return outcome(s.third.Address, s.id)
}

// want is what a case expects.
type want struct {
	outcome problem.Outcome
	runs    int
}

// faultCases bring about what the protocol is made for. Each returns the last
// word that the caller got.
var faultCases = []struct {
	name string
	want want
	run  func(*scene) reply
}{
	{"no fault", want{problem.Answered, 1}, func(s *scene) reply {
		return push(s.owner.Address, s.id)
	}},
	{"owner killed while it waits", want{problem.NotRun, 0}, func(s *scene) reply {
		return s.killOwnerAt(router.StageAccepted, "push")
	}},
	{"owner killed between record and dispatch", want{problem.Unknown, 0}, func(s *scene) reply {
		return s.killOwnerAt(router.StageRecorded, "push")
	}},
	{"owner killed after dispatch", want{problem.Unknown, 1}, func(s *scene) reply {
		return s.killOwnerAt(router.StageSent, "push")
	}},
	{"owner paused before the record, goes on after the caller was told", want{problem.NotRun, 0}, func(s *scene) reply {
		reached, release := s.ownerGate.at(router.StageAccepted)
		wait := s.start()
		<-reached
		told := s.closeAtWitness()
		release()
		must.Eq(s.t, problem.NotRun, wait().outcome)
		return told
	}},
	{"owner paused after the record, goes on after the caller was told", want{problem.Unknown, 1}, func(s *scene) reply {
		reached, release := s.ownerGate.at(router.StageRecorded)
		wait := s.start()
		<-reached
		told := s.closeAtWitness()
		release()
		must.Eq(s.t, problem.Answered, wait().outcome)
		return told
	}},
	{"witness dead", want{problem.NotRun, 0}, func(s *scene) reply {
		s.witness.Kill()
		return push(s.owner.Address, s.id)
	}},
	{"witness slower than the owner waits", want{problem.NotRun, 0}, func(s *scene) reply {
		_, release := s.witGate.at(router.StageWitnessed)
		r := push(s.owner.Address, s.id)
		release()
		return r
	}},
	{"acknowledgement lost with the witness", want{problem.NotRun, 0}, func(s *scene) reply {
		reached, _ := s.witGate.at(router.StageWitnessed)
		wait := s.start()
		<-reached
		s.witness.Kill()
		return wait()
	}},
	{"caller retries at all hosts at once", want{problem.Answered, 1}, func(s *scene) reply {
		var wg sync.WaitGroup
		answers := make([]reply, 9)
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i] = push(s.StartedHosts[i%3].Address, s.id)
			}()
		}
		wg.Wait()
		last := reply{}
		for _, a := range answers {
			must.NotEq(s.t, problem.NotRun, a.outcome)
			if a.outcome == problem.Answered {
				last = a
			}
		}
		return last
	}},
	{"a call that may be repeated, with an ID of a witness, loses its owner", want{problem.Unknown, 1}, func(s *scene) reply {
		// The witness must have a record of it, or it would say "not run".
		return s.killOwnerAt(router.StageSent, "look")
	}},
	{"a call without witness loses its owner", want{problem.Unknown, 1}, func(s *scene) reply {
		id, err := once.ParseID(s.id)
		must.NoError(s.t, err)
		id.Witness, id.WitnessGeneration = 0, 0
		s.id = id.String()
		return s.killOwnerAt(router.StageSent, "look")
	}},
	{"retry after the answer", want{problem.Answered, 1}, func(s *scene) reply {
		must.Eq(s.t, problem.Answered, push(s.owner.Address, s.id).outcome)
		again := push(s.third.Address, s.id)
		// The answer itself is not repeated; that it was sent is told.
		must.Eq(s.t, problem.AlreadyRun, again.problem.Kind)
		return again
	}},
	{"asked before the call arrives", want{problem.NotRun, 0}, func(s *scene) reply {
		must.Eq(s.t, problem.NotRun, outcome(s.third.Address, s.id).outcome)
		return push(s.owner.Address, s.id)
	}},
	{"host restarted at the same address", want{problem.Unknown, 1}, func(s *scene) reply {
		must.Eq(s.t, problem.Answered, push(s.owner.Address, s.id).outcome)
		s.owner.Kill()
		n, err := s.AddHost(s.owner.Address)
		must.NoError(s.t, err)
		eventually(s.t, "restarted host ready", func() bool { return n.Router.Status().Ready })
		return push(n.Address, s.id)
	}},
	{"endpoint runs the call and loses the answer", want{problem.Unknown, 1}, func(s *scene) reply {
		for _, svc := range s.Services {
			svc.SetFaults(fake.ServiceFaults{LoseAnswer: 1})
		}
		must.Eq(s.t, problem.Unknown, push(s.owner.Address, s.id).outcome)
		return push(s.third.Address, s.id)
	}},
	{"witness leaves and hands its records on, then the owner dies", want{problem.Unknown, 0}, func(s *scene) reply {
		reached, _ := s.ownerGate.at(router.StageRecorded)
		wait := s.start()
		<-reached
		must.NoError(s.t, s.witness.Router.Drain(s.t.Context()))
		s.witness.Kill()
		s.owner.Kill()
		wait()
		got := outcome(s.third.Address, s.id)
		// The copy knows where the call was to go; without it nobody would.
		must.NotEq(s.t, "", got.problem.Endpoint)
		return got
	}},
	{"witness leaves with nothing recorded, then the owner dies", want{problem.NotRun, 0}, func(s *scene) reply {
		other := s.id + "-recorded"
		must.Eq(s.t, problem.Answered, push(s.owner.Address, other).outcome)
		reached, _ := s.ownerGate.at(router.StageAccepted)
		wait := s.start()
		<-reached
		must.NoError(s.t, s.witness.Router.Drain(s.t.Context()))
		s.witness.Kill()
		s.owner.Kill()
		wait()
		return outcome(s.third.Address, s.id)
	}},
	{"owner and witness killed", want{problem.Unknown, 0}, func(s *scene) reply {
		reached, _ := s.ownerGate.at(router.StageAccepted)
		wait := s.start()
		<-reached
		s.owner.Kill()
		s.witness.Kill()
		wait()
		return outcome(s.third.Address, s.id)
	}},
}

// closeAtWitness asks the witness directly, as a host does that cannot reach the owner.
func (s *scene) closeAtWitness() reply {
	f, name := s.witness.Router.CloseID(s.id)
	r := reply{outcome: problem.Unknown, body: name}
	if f {
		r.outcome = problem.NotRun
	}
	return r
}

func TestFaultTable(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScene(t, newRig(t, nil), "u1")
			got := c.run(s)
			must.Eq(t, c.want.outcome, got.outcome, must.Sprintf("%+v", got))
			must.Eq(t, c.want.runs, s.runs(s.id))
		})
	}
}

func TestCallIsPassedWhole(t *testing.T) {
	r := newRig(t, nil)
	s := newScene(t, r, "u1")
	got := push(s.owner.Address, s.id)
	must.Eq(t, http.StatusCreated, got.status)
	must.Eq(t, "body", got.body)
}
