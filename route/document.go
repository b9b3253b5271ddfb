// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "time"

// Kind says what may be done with a request a second time.
type Kind uint8

const (
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce Kind = iota
	// Repeatable marks requests that may run again.
	Repeatable
	// Stream marks requests that are answered by a series of events.
	Stream
)

// Route is a set of requests, by host and path, and what holds for them.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select the requests; the longest prefix wins.
	Host, Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds the time a request is held; 0 is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is wanted.
	Objective time.Duration
	// PauseObjective is the longest pause between two events that is wanted.
	PauseObjective time.Duration
	// Attempts is the number of endpoints that one request may go to.
	Attempts int
	// Rank is the urgency, 0 the highest.
	Rank int
	// Sticky says that endpoints which hold parts of the prompt are preferred.
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

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Service is a kind of endpoint.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the number of connections an endpoint takes from all hosts; 0 is unknown.
	MaxConnections int
	// Engine says that its endpoints are model engines.
	Engine bool
	// Slots is the number of requests an engine batches; 0 is unknown.
	Slots int
	// EventTokens is the number of tokens that an event of a stream holds; 0 is unknown.
	EventTokens int
	// KVCapacity is the number of tokens an engine holds; 0 is unknown.
	KVCapacity int
}

// Workspace is a customer with keys and a bound.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys are the keys in force.
	Keys []string
	// Rank goes before the route's rank, 0 the highest.
	Rank int
	// Rate is the bound in units a second over all hosts; 0 is no bound.
	Rate float64
	// Burst is what may come at once beyond Rate, in units.
	Burst float64
	// RateInTokens says that units are tokens; else they are requests.
	RateInTokens bool
	// DefaultTokens counts for a request that names no tokens.
	DefaultTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time for the header, IdleTime the rest between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a whole configuration.
type Document struct {
	// Version is the operators' number of it.
	Version int64
	// Routes, Services and Workspaces are its parts.
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Limits bound what a caller may send.
	Limits Limits
}
