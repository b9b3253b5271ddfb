// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "time"

// Kind says whether a request may run more than once, and how it is answered.
type Kind uint8

const (
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce Kind = iota
	// Repeatable marks requests that may run again.
	Repeatable
	// Stream marks requests that are answered by an event stream.
	Stream
)

// Route selects requests by host and path and sets how they are handled.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select the requests; the longest prefix wins.
	Host, Prefix string
	// Kind is the kind of the requests.
	Kind Kind
	// Resumable says that a stream may be resumed at another endpoint.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout limits the time from a request's arrival to its end; 0 means no limit.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a stream.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events.
	PauseObjective time.Duration
	// Attempts is the maximum number of endpoints to which one request is sent.
	Attempts int
	// Rank is the urgency; 0 is the highest.
	Rank int
	// Sticky prefers endpoints that hold parts of the prompt.
	Sticky bool
	// Targets are the services that share the requests by weight.
	Targets []Target
}

// Target is a service and its share of a route's requests.
type Target struct {
	// Service is the service's name.
	Service string
	// Weight is its share, relative to the other targets.
	Weight float64
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Service is a set of endpoints of one kind.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all hosts together; 0 means unknown.
	MaxConnections int
	// HealthPath is the path at which an endpoint answers a GET while it is healthy; empty means none.
	HealthPath string
	// Engine says that the endpoints are engines; else they are plain services.
	Engine bool
	// Slots is the number of requests that an engine batches; 0 means unknown.
	Slots int
	// EventTokens is the number of tokens in an event of a stream; 0 means unknown.
	EventTokens int
	// KVCapacity is the number of tokens that an engine can hold; 0 means unknown.
	KVCapacity int
	// ColdTime is the time for which an endpoint is cold after its start, and ColdRate the number of requests a second that it
	// bears while it is cold; 0 means that it bears as many as ever.
	ColdTime time.Duration
	ColdRate float64
}

// Workspace is a customer with its keys and quota.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys are the keys in force.
	Keys []string
	// Rank takes precedence over the route's rank; 0 is the highest.
	Rank int
	// Rate is the limit in units per second over all hosts; 0 means no limit.
	Rate float64
	// Burst is the number of units that may come at once beyond Rate.
	Burst float64
	// RateInTokens says that units are tokens; else they are requests.
	RateInTokens bool
	// DefaultTokens is the number of units of a request that declares no tokens.
	DefaultTokens float64
}

// Limits are the limits on what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes limit the sizes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout limits the time to receive the header, IdleTimeout the time between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a whole configuration.
type Document struct {
	// Version is the number that operators gave it.
	Version int64
	// Routes, Services and Workspaces are its parts.
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Limits are the limits on what a caller may send.
	Limits Limits
}
