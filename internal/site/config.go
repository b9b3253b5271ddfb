// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

// Names in the example configuration.
const (
	// HostName is the HTTP host name that callers send.
	HostName = "shop.example"
	// Key is a key of the workspace named by Workspace.
	Key       = "key-of-water-utility"
	Workspace = "water-utility"
	// Engines and Plain are the names of the two services.
	Engines = "engines"
	Plain   = "plain"
)

// Route is a route as the configuration document has it.
type Route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, SloMs, GapSloMs            int
	Priority, Attempts                    int
	Public, Sticky, Resumable             bool
}

// Service is a service as the configuration document has it.
type Service struct {
	Name, HealthPath, Protocol string
	MaxConns                   int
	ColdS, ColdPerS            float64 `json:",omitempty"`
	Engine                     *Engine `json:",omitempty"`
}

// Engine describes the engines of a service in the configuration document.
type Engine struct{ Slots, KvCapacity, Stride int }

// Tenant is a workspace as the configuration document has it.
type Tenant struct {
	Name        string
	Keys        []string
	Priority    int
	Unit        string
	PlainTokens int
	PerS, Burst int
}

// Config is a configuration document.
type Config struct {
	Version  int
	Routes   []Route
	Services []Service
	Limits   struct{ HeaderBytes, BodyBytes, HeaderMs, IdleMs int }
	Tenants  []Tenant
}

// Example returns a configuration with a route of each kind.
func Example() Config {
	c := Config{
		Version: 1,
		Routes: []Route{
			{Name: "push", Host: HostName, PathPrefix: "/push/", Kind: "non_idempotent", Service: Plain, TimeoutMs: 4000, SloMs: 300, Attempts: 1},
			{Name: "ask", Host: HostName, PathPrefix: "/ask/", Kind: "idempotent", Service: Plain, TimeoutMs: 4000, SloMs: 300, Attempts: 2},
			{Name: "draft", Host: HostName, PathPrefix: "/draft/", Kind: "streaming", Service: Engines, TimeoutMs: 8000, SloMs: 1000, GapSloMs: 600, Attempts: 1},
			{Name: "review", Host: HostName, PathPrefix: "/review/", Kind: "streaming", Service: Engines, TimeoutMs: 8000, SloMs: 1000, GapSloMs: 600, Attempts: 2, Resumable: true},
			{Name: "open", Host: HostName, PathPrefix: "/open/", Kind: "idempotent", Service: Plain, TimeoutMs: 4000, SloMs: 300, Attempts: 2, Public: true},
			{Name: "brief", Host: HostName, PathPrefix: "/brief/", Kind: "idempotent", Service: Plain, TimeoutMs: 300, SloMs: 100, Attempts: 1},
		},
		Services: []Service{
			{Name: Plain, HealthPath: "/healthz", Protocol: "h1", MaxConns: 100},
			{Name: Engines, HealthPath: "/healthz", Protocol: "h1", MaxConns: 100, Engine: &Engine{Slots: 8, KvCapacity: 100000, Stride: 5}},
		},
		Tenants: []Tenant{{Name: Workspace, Keys: []string{Key}, Unit: "token", PlainTokens: 200, PerS: 100000, Burst: 100000}},
	}
	c.Limits.HeaderBytes, c.Limits.BodyBytes, c.Limits.HeaderMs, c.Limits.IdleMs = 16384, 100000, 3000, 15000
	return c
}
