// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// CandidateLog is one endpoint considered in a decision.
type CandidateLog struct {
	// Endpoint is its name.
	Endpoint string `json:"endpoint"`
	// Cached is the prompt tokens that it was taken to hold.
	Cached int `json:"cached_tokens"`
	// FirstToken and Whole are the predicted times to the first token and the end.
	FirstToken time.Duration `json:"first_ns"`
	Completion time.Duration `json:"whole_ns"`
}

// DecisionLog tells how a request was decided.
type DecisionLog struct {
	// ID, Workspace, Service and Tier name the request.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Tier      string `json:"tier"`
	// At is when, since the host's start.
	At time.Duration `json:"at_ns"`
	// Verdict is "run", "wait" or "refuse"; Reason explains a refusal.
	Verdict string `json:"verdict"`
	Reason  Reason `json:"reason,omitempty"`
	// Endpoint is the one chosen, and ImportFrom the one whose cache moves there.
	Endpoint   string `json:"endpoint,omitempty"`
	ImportFrom string `json:"import_from,omitempty"`
	// Candidates are at most maxCandidates endpoints that had room.
	Candidates []CandidateLog `json:"candidates,omitempty"`
}

// entry is a decision in the ring, of fixed size.
type entry struct {
	id     string
	ref    refNames
	at     time.Duration
	d      Decision
	n      int
	cands  [maxCandidates]candidate
	filled bool
}

// refNames are the names shown for a decision.
type refNames struct{ workspace, service, tier string }

// logSize is the number of decisions remembered on a host.
const logSize = 512

// remember notes a decision.
func (s *Scheduler) remember(now time.Duration, d Decision, cands []candidate) {
	e := &s.log[s.logNext%logSize]
	s.logNext++
	st := d.Request.Settings
	*e = entry{id: d.Request.ID, ref: refNames{st.Workspace, st.Service, st.Tier}, at: now, d: d, filled: true}
	e.d.Request = nil
	e.n = copy(e.cands[:], cands)
}

// Explain returns the remembered decisions on a request, oldest first.
func (s *Scheduler) Explain(id string) []DecisionLog {
	var out []DecisionLog
	for i := range logSize {
		e := &s.log[(s.logNext+i)%logSize]
		if e.filled && e.id == id {
			out = append(out, e.export())
		}
	}
	return out
}

// export gives an entry in the form that is shown.
func (e *entry) export() DecisionLog {
	l := DecisionLog{
		ID: e.id, Workspace: e.ref.workspace, Service: e.ref.service, Tier: e.ref.tier, At: e.at,
		Verdict: [...]string{"run", "wait", "refuse"}[e.d.Verdict], Reason: e.d.Reason,
		Endpoint: e.d.Endpoint, ImportFrom: e.d.ImportFrom,
	}
	for _, c := range e.cands[:e.n] {
		l.Candidates = append(l.Candidates, CandidateLog{c.e.Name, c.cached, c.first, c.whole})
	}
	return l
}
