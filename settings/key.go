// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a key's value.
type Type string

// The types of value.
const (
	Duration Type = "duration"
	Integer  Type = "integer"
	Number   Type = "number"
	Boolean  Type = "boolean"
	Text     Type = "text"
	Names    Type = "list of names"
)

// Level is the kind of node that a key may stand at.
type Level uint8

// The levels of the tree, usable as a set.
const (
	LevelFleet Level = 1 << iota
	LevelModel
	LevelEndpoint
	LevelPlacement
	LevelWorkspace
	LevelService
	LevelTier
)

// inherited are the levels that hand their values down to their children.
const inherited = LevelFleet | LevelWorkspace | LevelService | LevelTier

// Key describes one setting: the table of keys is the source of checking, of
// explain and of docs/SETTINGS.md.
type Key struct {
	// Name is the key as it is written in YAML.
	Name string
	// Type is the type of the value.
	Type Type
	// Unit names the unit of the value, or is empty.
	Unit string
	// Min and Max bound the value, in the unit (durations in seconds).
	Min, Max float64
	// Default is the value in force where no level sets one.
	Default string
	// Levels is the set of nodes that may set the key.
	Levels Level
	// Choices lists the only permitted texts, or is empty.
	Choices []string
	// Doc is one sentence for operators.
	Doc string
}

// The names of keys that the code refers to.
const (
	KeyTier        = "tier"
	KeyDeadline    = "deadline"
	KeyRepeatable  = "repeatable"
	KeyWitness     = "witness"
	KeyWeight      = "weight"
	KeyRate        = "rate"
	KeyConcurrency = "concurrency"
	KeyRetryBudget = "retry-budget"
	KeyQueue       = "queue"
	KeyAffinity    = "affinity"
	KeyEndpoints   = "endpoints"
	KeyModels      = "models"
	KeyMaxTokens   = "max-tokens"
	KeyMaxBody     = "max-body"
	KeyHosts       = "hosts"
	KeyTiers       = "tiers"
	KeyKind        = "kind"
	KeyAddress     = "address"
	KeyZone        = "zone"
	KeyFenced      = "fenced"
	KeyModel       = "model"
	KeyVersion     = "version"
	KeyAdapters    = "adapters"
	KeyRole        = "role"
	KeyReplicas    = "replicas"
	KeyState       = "state"
	KeySlots       = "slots"
)

// inherit is the value that sets a key back to what the parent has.
const inherit = "inherit"

// Keys is the table of all keys, sorted by name within each group.
var Keys = []Key{
	{Name: KeyTiers, Type: Names, Levels: LevelFleet, Default: "urgent,normal,patient", Doc: "Names of the tiers, the highest first; the last is shed first."},
	{Name: KeyTier, Type: Text, Levels: inherited &^ LevelTier, Default: "normal", Doc: "Tier of a request that names none."},
	{Name: KeyDeadline, Type: Duration, Unit: "s", Min: 0.001, Max: 86400, Levels: inherited, Default: "30s", Doc: "Time from arrival within which the whole answer counts as goodput."},
	{Name: KeyRepeatable, Type: Boolean, Levels: inherited, Default: "true", Doc: "Whether running a request twice does no harm; false demands an ID and a witness."},
	{Name: KeyWitness, Type: Boolean, Levels: inherited, Default: "true", Doc: "Whether a call that may not be repeated is recorded at a witness before its dispatch."},
	{Name: KeyWeight, Type: Number, Unit: "share", Min: 0.01, Max: 1000, Levels: inherited, Default: "1", Doc: "Share of a workspace among workspaces of the same tier."},
	{Name: KeyRate, Type: Number, Unit: "requests/s", Min: 0, Max: 1e6, Levels: inherited, Default: "0", Doc: "Rate limit of everything below the level that sets it, over all hosts; 0 is no limit."},
	{Name: KeyConcurrency, Type: Integer, Unit: "requests", Min: 0, Max: 1e6, Levels: inherited, Default: "0", Doc: "Limit of requests running at once below the level that sets it, over all hosts; 0 is no limit."},
	{Name: KeyRetryBudget, Type: Number, Unit: "share", Min: 0, Max: 1, Levels: inherited, Default: "0.1", Doc: "Retries taken, as a share of first tries."},
	{Name: KeyQueue, Type: Integer, Unit: "requests", Min: 0, Max: 100000, Levels: inherited, Default: "1000", Doc: "Requests of a workspace that may wait on one host."},
	{Name: KeyAffinity, Type: Boolean, Levels: inherited, Default: "true", Doc: "Whether a request prefers an endpoint that holds its prompt prefix."},
	{Name: KeyEndpoints, Type: Names, Levels: inherited, Default: "", Doc: "Endpoints that may serve; empty means every engine that holds the model."},
	{Name: KeyModels, Type: Names, Levels: inherited, Default: "", Doc: "Models that may be asked for; empty means all."},
	{Name: KeyMaxTokens, Type: Integer, Unit: "tokens", Min: 1, Max: 1e6, Levels: inherited, Default: "4096", Doc: "Most tokens that one answer may have."},
	{Name: KeyMaxBody, Type: Integer, Unit: "bytes", Min: 1, Max: 64 << 20, Levels: inherited, Default: "1048576", Doc: "Largest body of a request; it bounds the memory that a request may hold."},
	{Name: KeyHosts, Type: Integer, Unit: "hosts", Min: 1, Max: 1000, Levels: LevelFleet | LevelWorkspace, Default: "3", Doc: "Number of hosts named in the address answer of a workspace."},

	{Name: KeyKind, Type: Text, Levels: LevelEndpoint, Default: "engine", Choices: []string{"engine", "service"}, Doc: "Model engine or plain service."},
	{Name: KeyAddress, Type: Text, Levels: LevelEndpoint, Doc: "IP number and port of the endpoint."},
	{Name: KeyZone, Type: Text, Levels: LevelEndpoint | LevelPlacement, Doc: "Availability zone of the endpoint, or zone to place in (empty: every zone)."},
	{Name: KeyFenced, Type: Boolean, Levels: LevelEndpoint, Default: "true", Doc: "Whether the endpoint checks the fencing token of an order."},
	{Name: KeySlots, Type: Integer, Unit: "requests", Min: 1, Max: 10000, Levels: LevelEndpoint, Default: "8", Doc: "Requests that the endpoint runs at once."},
	{Name: KeyState, Type: Text, Levels: LevelEndpoint, Default: "live", Choices: []string{"live", "leaving"}, Doc: "A leaving endpoint gets no new work."},

	{Name: KeyModel, Type: Text, Levels: LevelPlacement, Doc: "Model to place."},
	{Name: KeyVersion, Type: Text, Levels: LevelPlacement, Default: "1", Doc: "Version of the model."},
	{Name: KeyAdapters, Type: Names, Levels: LevelPlacement, Default: "", Doc: "Adapters to load beside the model."},
	{Name: KeyRole, Type: Text, Levels: LevelPlacement, Default: "both", Choices: []string{"prefill", "decode", "both"}, Doc: "Part of the work that the replicas do."},
	{Name: KeyReplicas, Type: Integer, Unit: "endpoints", Min: 0, Max: 10000, Levels: LevelPlacement, Default: "1", Doc: "Endpoints that hold the model, in each zone placed."},
}

// FindKey returns the key of that name that may stand at level, or nil.
func FindKey(name string, level Level) *Key {
	for i := range Keys {
		if Keys[i].Name == name && Keys[i].Levels&level != 0 {
			return &Keys[i]
		}
	}
	return nil
}

// Normalize checks text against the key and returns its canonical form.
func (k *Key) Normalize(text string) (string, error) {
	switch k.Type {
	case Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return "", fmt.Errorf("%q is no duration; write a number with a unit, such as 500ms or 30s", text)
		}
		return d.String(), k.inRange(d.Seconds())
	case Integer:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return "", fmt.Errorf("%q is no whole number; write one without a unit (the unit is %s)", text, k.Unit)
		}
		return strconv.FormatInt(n, 10), k.inRange(float64(n))
	case Number:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "", fmt.Errorf("%q is no number; write one without a unit (the unit is %s)", text, k.Unit)
		}
		return strconv.FormatFloat(f, 'g', -1, 64), k.inRange(f)
	case Boolean:
		if text != "true" && text != "false" {
			return "", fmt.Errorf("%q is neither true nor false", text)
		}
	case Text:
		if len(k.Choices) > 0 && !slices.Contains(k.Choices, text) {
			return "", fmt.Errorf("%q is none of %s", text, strings.Join(k.Choices, ", "))
		}
	case Names:
		return text, nil
	}
	return text, nil
}

// inRange reports whether f lies in the key's range; a NaN does not.
func (k *Key) inRange(f float64) error {
	if f >= k.Min && f <= k.Max {
		return nil
	}
	return fmt.Errorf("%v is out of range; write %v to %v %s", f, k.Min, k.Max, k.Unit)
}
