// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

// Message is the log message of the lines that hold events.
const Message = "request"

// Kind is the outcome of a request, or of one send of it.
type Kind string

// The kinds of events.
const (
	// Refused means that the host itself gave the final answer and no endpoint ran the request.
	Refused Kind = "refused"
	// Held means that the host refused the request because endpoints crashed while they ran it.
	Held Kind = "held"
	// Failed means that the host itself gave the final answer, although an endpoint may have run the request.
	Failed Kind = "failed"
	// EndpointFailed means that the host forwarded an endpoint's answer that reports a failure.
	EndpointFailed Kind = "endpoint failed"
	// Truncated means that the answer ended early, after a part of it was sent to the caller.
	Truncated Kind = "cut"
	// CallerGone means that the caller left.
	CallerGone Kind = "caller gone"
	// SendLost means that a send returned no complete answer; the request may be sent again.
	SendLost Kind = "send lost"
	// NotRun means that the response to a send says that it was not run; the request may be sent again.
	NotRun Kind = "not run"
	// SentByStaleList means that the host's list of endpoints was so old at a send that it may
	// contain endpoints that have left. It does not say how the send ended.
	SentByStaleList Kind = "sent by old list"
	// SentByStaleSettings means that a request was sent by settings older than their limit, since the
	// store failed for the host. It does not say how the send ended.
	SentByStaleSettings Kind = "sent by old settings"
	// Continued means that a stream goes on at an endpoint that did not begin it. It does not say how the
	// send ended.
	Continued Kind = "continued"
	// Served means that the caller got an endpoint's complete answer. Only hosts that trace
	// all requests log it.
	Served Kind = "served"
)

// Event is one log line about a request. Durations are in milliseconds unless stated otherwise.
type Event struct {
	// Time is when the event happened, as the host's wall-clock time in seconds. It orders
	// events of several hosts only roughly.
	Time float64 `json:"ts"`
	// Host is the name of the host that logged the event.
	Host string `json:"host"`
	// ID, Workspace, Route and Service identify the request; those not determined are empty.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	// Outcome is the kind of the event, Status the status of the answer to the caller, and
	// Why the explanation.
	Outcome Kind   `json:"outcome"`
	Status  int    `json:"status"`
	Why     string `json:"why"`
	// Endpoint is the last endpoint that the request was sent to, Sends the number of sends,
	// and Events the number of events of the answer forwarded to the caller.
	Endpoint string `json:"endpoint"`
	Sends    int    `json:"sends"`
	Events   int    `json:"events"`
	// Version is the version of that endpoint's software. Resumes is the ID of the attempt that, according to
	// the caller, brought the first event of the stream, and LastEvent the number of the last event that the
	// caller has. Origin says how the host knows at which version the stream began that the caller resumes:
	// remembered, asked (another host knew it), saved (it was in the store) or sole (only one version has served
	// for long). Events of kind Continued have them, those of kind Refused all but the version if the request
	// resumes a stream, those of kind SendLost the version only.
	Version   string `json:"version,omitempty"`
	Resumes   string `json:"resumes,omitempty"`
	LastEvent string `json:"last_event,omitempty"`
	Origin    string `json:"origin,omitempty"`
	// RelayedBy is the host that relayed the request to this one, and RelayedTo the host to which this one
	// relayed it; empty if it was not relayed.
	RelayedBy string `json:"relayed_by,omitempty"`
	RelayedTo string `json:"relayed_to,omitempty"`
	// Parts lists the parts of the prompt but the last, as the caller stated them, cut to some of them if they
	// are many. Events of kind SendLost have it.
	Parts string `json:"parts,omitempty"`
	// SilentMS is the silence of the endpoint, or of the host to which the request was relayed, after which another
	// one took over, 0 if the last send ended by itself. Events of kinds SendLost and Truncated have it.
	SilentMS int64 `json:"silent_ms,omitempty"`
	// Fingerprint is the same for all attempts of one request at all hosts. SentMS is the time since
	// the last send, and OtherInFlight the number of other requests known to be at that endpoint.
	// Events of kind SendLost have all three, those of kind Held the fingerprint only.
	Fingerprint   string `json:"fingerprint,omitempty"`
	SentMS        int64  `json:"sent_ms,omitempty"`
	OtherInFlight int    `json:"beside,omitempty"`
	// Conn is the number of the connection of the send among those that the host has opened to endpoints, or to other hosts if the request
	// was relayed, ConnRequests the number of requests sent on it so far, and AnsweredUS the time in microseconds from the send to the head of
	// the response, 0 without one. Events of kinds NotRun and SendLost have them.
	Conn         int64 `json:"conn,omitempty"`
	ConnRequests int   `json:"conn_requests,omitempty"`
	AnsweredUS   int64 `json:"answered_us,omitempty"`
	// ElapsedMS is the time since the arrival of the request, PredictedMS the predicted time to
	// the first event at the endpoint, and LeftMS the time left until the deadline.
	ElapsedMS   int64 `json:"held_ms"`
	PredictedMS int64 `json:"predicted_ms"`
	LeftMS      int64 `json:"left_ms"`
	// TokensIn is the size of the prompt, TokensOut the maximum size of the answer and
	// TokensGuess its expected size, in tokens as stated by the caller; 0 if not stated.
	TokensIn    int `json:"tokens_in"`
	TokensOut   int `json:"tokens_out"`
	TokensGuess int `json:"tokens_guess"`
	// ObjectiveMS is the route's objective for the time to the first event, or to the whole
	// answer if it is no stream, and PauseObjectiveMS that for the longest pause between two
	// events; 0 for none.
	ObjectiveMS      int64 `json:"objective_ms"`
	PauseObjectiveMS int64 `json:"pause_objective_ms"`
	// QueuedMS is the time from the arrival to the first send, and FirstEventMS that to the
	// first event or answer forwarded to the caller, -1 if there was none. LongestPauseMS is
	// the longest pause between two events.
	QueuedMS       int64 `json:"queued_ms"`
	FirstEventMS   int64 `json:"first_ms"`
	LongestPauseMS int64 `json:"longest_pause_ms"`
	// ListAgeMS is the maximum age of the list of endpoints at the last send, and ChoiceMS the
	// time from the choice of the endpoint to that send; -1 if there was none.
	ListAgeMS int64 `json:"list_age_ms"`
	ChoiceMS  int64 `json:"choice_ms"`
	// StepUS is the time per token at the endpoint, in microseconds, and Load the number of
	// requests there, both as the host estimated them at the last send.
	StepUS int64   `json:"step_us"`
	Load   float64 `json:"load"`
	// LengthRank is the share of its service's recent requests with a shorter expected answer, and Admitted the share of them that the
	// ration of its tier admitted. EstimatedWaitMS is the estimated wait for a slot, and EstimatedEndMS the time to the end of the answer
	// at the fastest endpoint if it were idle. All are as of the request's arrival; 0 if they were not needed.
	LengthRank      float64 `json:"length_rank"`
	Admitted        float64 `json:"admitted"`
	EstimatedWaitMS int64   `json:"estimated_wait_ms"`
	EstimatedEndMS  int64   `json:"estimated_end_ms"`
	// RetryAfterMS is the time after which the answer asks the caller to retry.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Revision is the revision of the settings that decided the request, and SettingsAgeMS their maximum
	// age at that moment, -1 if unknown.
	Revision      uint64 `json:"revision"`
	SettingsAgeMS int64  `json:"settings_age_ms"`
}

// Fields returns the event as keys and values for a logger, without time and host.
func (e *Event) Fields() []any {
	fields := []any{
		"id", e.ID, "workspace", e.Workspace, "route", e.Route, "service", e.Service,
		"outcome", e.Outcome, "status", e.Status, "why", e.Why,
		"endpoint", e.Endpoint, "sends", e.Sends, "events", e.Events,
		"tokens_in", e.TokensIn, "tokens_out", e.TokensOut, "tokens_guess", e.TokensGuess,
		"objective_ms", e.ObjectiveMS, "pause_objective_ms", e.PauseObjectiveMS,
		"queued_ms", e.QueuedMS, "first_ms", e.FirstEventMS, "longest_pause_ms", e.LongestPauseMS,
		"list_age_ms", e.ListAgeMS, "choice_ms", e.ChoiceMS, "step_us", e.StepUS, "load", e.Load,
		"held_ms", e.ElapsedMS, "predicted_ms", e.PredictedMS, "left_ms", e.LeftMS,
		"retry_after_ms", e.RetryAfterMS, "revision", e.Revision, "settings_age_ms", e.SettingsAgeMS,
	}
	switch e.Outcome {
	case SendLost:
		fields = append(fields, "fingerprint", e.Fingerprint, "sent_ms", e.SentMS, "beside", e.OtherInFlight, "version", e.Version, "parts", e.Parts, "silent_ms", e.SilentMS)
		fields = append(fields, e.connFields()...)
	case NotRun:
		fields = append(fields, e.connFields()...)
	case Truncated:
		fields = append(fields, "silent_ms", e.SilentMS)
	case Continued:
		fields = append(fields, "version", e.Version, "resumes", e.Resumes, "last_event", e.LastEvent, "origin", e.Origin)
	case Refused:
		fields = append(fields, "length_rank", e.LengthRank, "admitted", e.Admitted, "estimated_wait_ms", e.EstimatedWaitMS, "estimated_end_ms", e.EstimatedEndMS)
		if e.LastEvent != "" {
			fields = append(fields, "resumes", e.Resumes, "last_event", e.LastEvent, "origin", e.Origin)
		}
	case Held:
		fields = append(fields, "fingerprint", e.Fingerprint)
	}
	if e.RelayedBy != "" {
		fields = append(fields, "relayed_by", e.RelayedBy)
	}
	if e.RelayedTo != "" {
		fields = append(fields, "relayed_to", e.RelayedTo)
	}
	return fields
}

// connFields returns the fields about the connection of a send.
func (e *Event) connFields() []any {
	return []any{"conn", e.Conn, "conn_requests", e.ConnRequests, "answered_us", e.AnsweredUS}
}
