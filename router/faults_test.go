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

// faultScenario is a call with its owner, its witness and a third host.
type faultScenario struct {
	*testCluster
	t                      *testing.T
	id                     string
	owner, witness, third  *dev.Host
	ownerGate, witnessGate *gate
}

// newFaultScenario creates an ID whose owner is not the host that issued it. The
// third host, which a case queries later, is neither the owner nor the witness.
func newFaultScenario(t *testing.T, r *testCluster, unique string) *faultScenario {
	s := &faultScenario{testCluster: r, t: t}
	issuer := r.StartedHosts[0]
	for _, a := range r.address(t, issuer).Addresses {
		if a.Address == issuer.Address || a.Witness == "" {
			continue
		}
		s.id = a.OncePrefix + unique
		s.owner, s.witness = r.hostAt(a.Address), r.hostAt(a.Witness)
	}
	must.NotNil(t, s.owner)
	for _, n := range r.StartedHosts {
		if n != s.owner && n != s.witness {
			s.third = n
		}
	}
	s.ownerGate, s.witnessGate = r.gateOf(s.owner), r.gateOf(s.witness)
	return s
}

// start sends the call to the owner and returns a function that waits for the
// reply.
func (s *faultScenario) start() func() reply {
	done := make(chan reply, 1)
	go func() { done <- callPush(s.owner.Address, s.id) }()
	return func() reply { return <-done }
}

// killOwnerAt calls a service through the owner, kills the owner at a stage of the
// call, and queries the third host for the outcome.
func (s *faultScenario) killOwnerAt(stage router.Stage, service string) reply {
	reached, _ := s.ownerGate.holdAt(stage)
	done := make(chan reply, 1)
	go func() { done <- callService(s.owner.Address, service, s.id) }()
	<-reached
	s.owner.Kill()
	<-done
	return queryOutcome(s.third.Address, s.id)
}

// expectation is the expected result of a case: the outcome that the caller gets
// and the number of runs of the call.
type expectation struct {
	outcome problem.Outcome
	runs    int
}

// faultCases are the faults that the protocol must handle. Each case returns the
// last reply that the caller got.
var faultCases = []struct {
	name string
	want expectation
	run  func(*faultScenario) reply
}{
	{"no fault", expectation{problem.Answered, 1}, func(s *faultScenario) reply {
		return callPush(s.owner.Address, s.id)
	}},
	{"owner killed while the request waits", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		return s.killOwnerAt(router.StageAccepted, "push")
	}},
	{"owner killed between record and dispatch", expectation{problem.Unknown, 0}, func(s *faultScenario) reply {
		return s.killOwnerAt(router.StageRecorded, "push")
	}},
	{"owner killed after dispatch", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		return s.killOwnerAt(router.StageSent, "push")
	}},
	{"owner paused before the record, continues after the ID was closed", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		reached, release := s.ownerGate.holdAt(router.StageAccepted)
		wait := s.start()
		<-reached
		finding := s.closeAtWitness()
		release()
		must.Eq(s.t, problem.NotRun, wait().outcome)
		return finding
	}},
	{"owner paused after the record, continues after the witness was queried", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		reached, release := s.ownerGate.holdAt(router.StageRecorded)
		wait := s.start()
		<-reached
		finding := s.closeAtWitness()
		release()
		must.Eq(s.t, problem.Answered, wait().outcome)
		return finding
	}},
	{"witness dead", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		s.witness.Kill()
		return callPush(s.owner.Address, s.id)
	}},
	{"witness slower than the owner's timeout", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		_, release := s.witnessGate.holdAt(router.StageWitnessed)
		r := callPush(s.owner.Address, s.id)
		release()
		return r
	}},
	{"acknowledgement lost with the witness", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		reached, _ := s.witnessGate.holdAt(router.StageWitnessed)
		wait := s.start()
		<-reached
		s.witness.Kill()
		return wait()
	}},
	{"caller retries at all hosts concurrently", expectation{problem.Answered, 1}, func(s *faultScenario) reply {
		var wg sync.WaitGroup
		answers := make([]reply, 9)
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i] = callPush(s.StartedHosts[i%3].Address, s.id)
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
	{"owner of a repeatable call with a witness killed", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		// Without a record the witness would report "not run".
		return s.killOwnerAt(router.StageSent, "look")
	}},
	{"owner of a call without witness killed", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		id, err := once.ParseID(s.id)
		must.NoError(s.t, err)
		id.Witness, id.WitnessGeneration = 0, 0
		s.id = id.String()
		return s.killOwnerAt(router.StageSent, "look")
	}},
	{"retry after the answer", expectation{problem.Answered, 1}, func(s *faultScenario) reply {
		must.Eq(s.t, problem.Answered, callPush(s.owner.Address, s.id).outcome)
		again := callPush(s.third.Address, s.id)
		// The answer is not repeated; the reply reports that it was sent.
		must.Eq(s.t, problem.AlreadyRun, again.problem.Kind)
		return again
	}},
	{"outcome queried before the call arrives", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		must.Eq(s.t, problem.NotRun, queryOutcome(s.third.Address, s.id).outcome)
		return callPush(s.owner.Address, s.id)
	}},
	{"host restarted at the same address", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		must.Eq(s.t, problem.Answered, callPush(s.owner.Address, s.id).outcome)
		s.owner.Kill()
		n, err := s.AddHost(s.owner.Address)
		must.NoError(s.t, err)
		eventually(s.t, "restarted host ready", func() bool { return n.Router.Status().Ready })
		return callPush(n.Address, s.id)
	}},
	{"endpoint runs the call and loses the answer", expectation{problem.Unknown, 1}, func(s *faultScenario) reply {
		for _, svc := range s.Services {
			svc.SetFaults(fake.ServiceFaults{LoseAnswer: 1})
		}
		must.Eq(s.t, problem.Unknown, callPush(s.owner.Address, s.id).outcome)
		return callPush(s.third.Address, s.id)
	}},
	{"witness leaves and hands its records over, then the owner dies", expectation{problem.Unknown, 0}, func(s *faultScenario) reply {
		reached, _ := s.ownerGate.holdAt(router.StageRecorded)
		wait := s.start()
		<-reached
		must.NoError(s.t, s.witness.Router.Drain(s.t.Context()))
		s.witness.Kill()
		s.owner.Kill()
		wait()
		got := queryOutcome(s.third.Address, s.id)
		// Only the copy of the witness knows the endpoint of the call.
		must.NotEq(s.t, "", got.problem.Endpoint)
		return got
	}},
	{"witness leaves with nothing recorded, then the owner dies", expectation{problem.NotRun, 0}, func(s *faultScenario) reply {
		other := s.id + "-recorded"
		must.Eq(s.t, problem.Answered, callPush(s.owner.Address, other).outcome)
		reached, _ := s.ownerGate.holdAt(router.StageAccepted)
		wait := s.start()
		<-reached
		must.NoError(s.t, s.witness.Router.Drain(s.t.Context()))
		s.witness.Kill()
		s.owner.Kill()
		wait()
		return queryOutcome(s.third.Address, s.id)
	}},
	{"owner and witness killed", expectation{problem.Unknown, 0}, func(s *faultScenario) reply {
		reached, _ := s.ownerGate.holdAt(router.StageAccepted)
		wait := s.start()
		<-reached
		s.owner.Kill()
		s.witness.Kill()
		wait()
		return queryOutcome(s.third.Address, s.id)
	}},
}

// closeAtWitness closes the ID directly at the witness, as a host does that cannot
// reach the owner.
func (s *faultScenario) closeAtWitness() reply {
	f, name := s.witness.Router.CloseID(s.id)
	r := reply{outcome: problem.Unknown, body: name}
	if f {
		r.outcome = problem.NotRun
	}
	return r
}

// TestFaults runs each fault case on a cluster of its own and checks the outcome
// that is reported to the caller and the number of runs.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newFaultScenario(t, newTestCluster(t, nil), "u1")
			got := c.run(s)
			must.Eq(t, c.want.outcome, got.outcome, must.Sprintf("%+v", got))
			must.Eq(t, c.want.runs, s.runs(s.id))
		})
	}
}

// TestCallIsForwardedUnchanged checks that the service gets the body of a call and
// that the caller gets the service's status and body.
func TestCallIsForwardedUnchanged(t *testing.T) {
	r := newTestCluster(t, nil)
	s := newFaultScenario(t, r, "u1")
	got := callPush(s.owner.Address, s.id)
	must.Eq(t, http.StatusCreated, got.status)
	must.Eq(t, "body", got.body)
}
