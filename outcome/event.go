// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

// Message is the text by which lines of events are found in logs.
const Message = "request"

// Kind says what became of a request, or of one send of it.
type Kind string

// The kinds.
const (
	// Refused means that the host gave a final answer of its own and no endpoint ran the request.
	Refused Kind = "refused"
	// Held means that the host refused a request under which endpoints crashed.
	Held Kind = "held"
	// Failed means that the host gave a final answer of its own although an endpoint may have run the request.
	Failed Kind = "failed"
	// EndpointFailed means that an endpoint's own failure was passed on.
	EndpointFailed Kind = "endpoint failed"
	// Truncated means that the answer was broken off after some of it went to the caller.
	Truncated Kind = "cut"
	// CallerGone means that the caller left.
	CallerGone Kind = "caller gone"
	// SendLost means that a send brought no whole answer; the request may go on elsewhere.
	SendLost Kind = "send lost"
	// SentByStaleList means that the request was sent by a list of endpoints that was old; it says nothing of how the send ended.
	SentByStaleList Kind = "sent by old list"
	// Served means that the caller got an endpoint's whole answer; it is told only by a
	// host that traces all requests.
	Served Kind = "served"
)

// Event is one line about a request.
type Event struct {
	// Time is when, in seconds of the host's time of day; it orders lines roughly only.
	Time float64 `json:"ts"`
	// Host is who wrote it.
	Host string `json:"host"`
	// ID, Workspace, Route and Service name the request; what was not found out is empty.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	// Outcome is what became of it, Status what the caller was told, and Why explains it.
	Outcome Kind   `json:"outcome"`
	Status  int    `json:"status"`
	Why     string `json:"why"`
	// Endpoint is the last one it was sent to, Sends the number of sends and Events
	// the number of events passed on.
	Endpoint string `json:"endpoint"`
	Sends    int    `json:"sends"`
	Events   int    `json:"events"`
	// Fingerprint is the same for all attempts at one request, whoever they came to, SentMS the time since the newest
	// send, and Beside the number of other requests that were known to be at that endpoint; lines of sends that
	// were lost tell them, and those of requests that were held the first.
	Fingerprint   string `json:"fingerprint,omitempty"`
	SentMS        int64  `json:"sent_ms,omitempty"`
	OtherInFlight int    `json:"beside,omitempty"`
	// ElapsedMS is the time since its arrival, PredictedMS the predicted time to the first
	// event at that endpoint, and LeftMS what was left to its deadline.
	ElapsedMS   int64 `json:"held_ms"`
	PredictedMS int64 `json:"predicted_ms"`
	LeftMS      int64 `json:"left_ms"`
	// TokensIn and TokensOut are the prompt and the most of the answer as the caller named
	// them, TokensGuess its guess of the answer; 0 where it named none.
	TokensIn    int `json:"tokens_in"`
	TokensOut   int `json:"tokens_out"`
	TokensGuess int `json:"tokens_guess"`
	// ObjectiveMS is the time to the first event, or to a whole answer that is no stream,
	// that the route wants, and PauseObjectiveMS the longest pause between two events; 0 for none.
	ObjectiveMS      int64 `json:"objective_ms"`
	PauseObjectiveMS int64 `json:"pause_objective_ms"`
	// QueuedMS is the time from its arrival to its first send, FirstMS to the first event
	// or answer that was passed on, -1 where there was none; LongestPauseMS is the longest
	// pause between two events.
	QueuedMS       int64 `json:"queued_ms"`
	FirstEventMS   int64 `json:"first_ms"`
	LongestPauseMS int64 `json:"longest_pause_ms"`
	// ListAgeMS is how old the list of endpoints might be at the newest send, and ChoiceMS the time from the choice of the endpoint to
	// that send; -1 where there was none.
	ListAgeMS int64 `json:"list_age_ms"`
	ChoiceMS  int64 `json:"choice_ms"`
	// StepUS is the time of a token at the endpoint as this host knew it at the last send,
	// in microseconds, and Load the requests that it was taken to have there.
	StepUS int64   `json:"step_us"`
	Load   float64 `json:"load"`
	// RetryAfterMS is when the caller was told to come back.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Revision and SettingsAgeMS tell the settings in force and how old they might be, -1 for unknown.
	Revision      uint64 `json:"revision"`
	SettingsAgeMS int64  `json:"settings_age_ms"`
}

// Fields gives the event as keys and values for a logger, without time and host.
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
		fields = append(fields, "fingerprint", e.Fingerprint, "sent_ms", e.SentMS, "beside", e.OtherInFlight)
	case Held:
		fields = append(fields, "fingerprint", e.Fingerprint)
	}
	return fields
}
