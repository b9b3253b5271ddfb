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

// The types of values.
const (
	Duration Type = "duration"
	Integer  Type = "integer"
	Number   Type = "number"
	Boolean  Type = "boolean"
	Text     Type = "text"
	Names    Type = "list of names"
)

// Level is a kind of node, or a set of kinds, that may set a key.
type Level uint8

// The levels of the tree; a set is the bitwise or of its levels.
const (
	LevelFleet Level = 1 << iota
	LevelModel
	LevelEndpoint
	LevelPlacement
	LevelWorkspace
	LevelService
	LevelTier
)

// inheritingLevels are the levels whose nodes pass their values on to their children.
const inheritingLevels = LevelFleet | LevelWorkspace | LevelService | LevelTier

// Key describes one setting. Checking, Explain and docs/SETTINGS.md all use the
// table of keys.
type Key struct {
	// Name is the key as it is written in YAML.
	Name string
	// Type is the type of the value.
	Type Type
	// Unit is the unit of the value, or empty.
	Unit string
	// Min and Max limit the value, in Unit (durations in seconds).
	Min, Max float64
	// Default is the value in effect where no level sets one.
	Default string
	// Levels is the set of levels whose nodes may set the key.
	Levels Level
	// Choices lists the permitted values; empty permits any.
	Choices []string
	// Doc is a one-sentence description for operators.
	Doc string
}

// The names of the keys.
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

// inheritValue is the value that states explicitly that a key inherits its parent's value.
const inheritValue = "inherit"

// Keys is the table of all keys: those of the fleet, workspaces, services and tiers,
// then those of endpoints, then those of placements.
var Keys = []Key{
	{Name: KeyTiers, Type: Names, Levels: LevelFleet, Default: "urgent,normal,patient", Doc: "Names of the tiers, the highest first; the last is shed first."},
	{Name: KeyTier, Type: Text, Levels: inheritingLevels &^ LevelTier, Default: "normal", Doc: "Tier of a request that names none."},
	{Name: KeyDeadline, Type: Duration, Unit: "s", Min: 0.001, Max: 86400, Levels: inheritingLevels, Default: "30s", Doc: "Time from arrival within which the whole answer counts as goodput."},
	{Name: KeyRepeatable, Type: Boolean, Levels: inheritingLevels, Default: "true", Doc: "Whether running a request twice does no harm; false demands an ID and a witness."},
	{Name: KeyWitness, Type: Boolean, Levels: inheritingLevels, Default: "true", Doc: "Whether a call that may not be repeated is recorded at a witness before its dispatch."},
	{Name: KeyWeight, Type: Number, Unit: "share", Min: 0.01, Max: 1000, Levels: inheritingLevels, Default: "1", Doc: "Share of a workspace among workspaces of the same tier."},
	{Name: KeyRate, Type: Number, Unit: "requests/s", Min: 0, Max: 1e6, Levels: inheritingLevels, Default: "0", Doc: "Rate limit of everything below the level that sets it, over all hosts; 0 is no limit."},
	{Name: KeyConcurrency, Type: Integer, Unit: "requests", Min: 0, Max: 1e6, Levels: inheritingLevels, Default: "0", Doc: "Limit of requests running at once below the level that sets it, over all hosts; 0 is no limit."},
	{Name: KeyRetryBudget, Type: Number, Unit: "share", Min: 0, Max: 1, Levels: inheritingLevels, Default: "0.1", Doc: "Retries taken, as a share of first tries."},
	{Name: KeyQueue, Type: Integer, Unit: "requests", Min: 0, Max: 100000, Levels: inheritingLevels, Default: "1000", Doc: "Requests of a workspace that may wait on one host."},
	{Name: KeyAffinity, Type: Boolean, Levels: inheritingLevels, Default: "true", Doc: "Whether a request prefers an endpoint that holds its prompt prefix."},
	{Name: KeyEndpoints, Type: Names, Levels: inheritingLevels, Default: "", Doc: "Endpoints that may serve; empty means every engine that holds the model."},
	{Name: KeyModels, Type: Names, Levels: inheritingLevels, Default: "", Doc: "Models that may be asked for; empty means all."},
	{Name: KeyMaxTokens, Type: Integer, Unit: "tokens", Min: 1, Max: 1e6, Levels: inheritingLevels, Default: "4096", Doc: "Most tokens that one answer may have."},
	{Name: KeyMaxBody, Type: Integer, Unit: "bytes", Min: 1, Max: 64 << 20, Levels: inheritingLevels, Default: "1048576", Doc: "Largest body of a request; it bounds the memory that a request may hold."},
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

// FindKey returns the key with the given name that may be set at level, or nil.
func FindKey(name string, level Level) *Key {
	for i := range Keys {
		if Keys[i].Name == name && Keys[i].Levels&level != 0 {
			return &Keys[i]
		}
	}
	return nil
}

// Normalize checks a value of the key and returns its canonical form.
func (k *Key) Normalize(text string) (string, error) {
	switch k.Type {
	case Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return "", fmt.Errorf("%q is not a duration; write a number with a unit, such as 500ms or 30s", text)
		}
		return d.String(), k.checkRange(d.Seconds())
	case Integer:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return "", fmt.Errorf("%q is not an integer; write one without a unit (the unit is %s)", text, k.Unit)
		}
		return strconv.FormatInt(n, 10), k.checkRange(float64(n))
	case Number:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "", fmt.Errorf("%q is not a number; write one without a unit (the unit is %s)", text, k.Unit)
		}
		return strconv.FormatFloat(f, 'g', -1, 64), k.checkRange(f)
	case Boolean:
		if text != "true" && text != "false" {
			return "", fmt.Errorf("%q is neither true nor false", text)
		}
	case Text:
		if len(k.Choices) > 0 && !slices.Contains(k.Choices, text) {
			return "", fmt.Errorf("%q is not one of %s", text, strings.Join(k.Choices, ", "))
		}
	case Names:
		return text, nil
	}
	return text, nil
}

// checkRange returns an error if f is outside the key's range; a NaN is.
func (k *Key) checkRange(f float64) error {
	if f >= k.Min && f <= k.Max {
		return nil
	}
	return fmt.Errorf("%v is out of range; write %v to %v %s", f, k.Min, k.Max, k.Unit)
}
