// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sched

import "time"

// CandidateLog is one endpoint considered in a decision.
type CandidateLog struct {
	// Endpoint is its name.
	Endpoint string `json:"endpoint"`
	// Cached is the number of prompt tokens assumed to be in its cache.
	Cached int `json:"cached_tokens"`
	// FirstToken and Completion are the predicted times to the first token and the end.
	FirstToken time.Duration `json:"first_ns"`
	Completion time.Duration `json:"whole_ns"`
}

// DecisionLog describes a decision on a request.
type DecisionLog struct {
	// ID, Workspace, Service and Tier identify the request.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Tier      string `json:"tier"`
	// At is the time of the decision, since the host's start.
	At time.Duration `json:"at_ns"`
	// Verdict is "run", "wait" or "refuse"; Reason explains a refusal.
	Verdict string `json:"verdict"`
	Reason  Reason `json:"reason,omitempty"`
	// Endpoint is the chosen endpoint, and ImportFrom the one whose KV cache is transferred to it.
	Endpoint   string `json:"endpoint,omitempty"`
	ImportFrom string `json:"import_from,omitempty"`
	// Candidates are at most maxCandidates endpoints that had room.
	Candidates []CandidateLog `json:"candidates,omitempty"`
}

// logEntry is a decision in the ring buffer, of fixed size.
type logEntry struct {
	id        string
	names     requestNames
	at        time.Duration
	decision  Decision
	candCount int
	cands     [maxCandidates]candidate
	filled    bool
}

// requestNames are the names that identify a request in the log.
type requestNames struct{ workspace, service, tier string }

// logSize is the number of decisions kept on a host.
const logSize = 512

// logDecision stores a decision and overwrites the oldest one.
func (s *Scheduler) logDecision(now time.Duration, d Decision, cands []candidate) {
	e := &s.log[s.logNext%logSize]
	s.logNext++
	st := d.Request.Settings
	*e = logEntry{id: d.Request.ID, names: requestNames{st.Workspace, st.Service, st.Tier}, at: now, decision: d, filled: true}
	e.decision.Request = nil
	e.candCount = copy(e.cands[:], cands)
}

// Explain returns the stored decisions on a request, oldest first.
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

// export converts an entry to a DecisionLog.
func (e *logEntry) export() DecisionLog {
	l := DecisionLog{
		ID: e.id, Workspace: e.names.workspace, Service: e.names.service, Tier: e.names.tier, At: e.at,
		Verdict: [...]string{"run", "wait", "refuse"}[e.decision.Verdict], Reason: e.decision.Reason,
		Endpoint: e.decision.Endpoint, ImportFrom: e.decision.ImportFrom,
	}
	for _, c := range e.cands[:e.candCount] {
		l.Candidates = append(l.Candidates, CandidateLog{c.e.Name, c.cached, c.firstToken, c.completion})
	}
	return l
}
