// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// lineage looks up the values in effect at a node: those of the node, its
// ancestors and the fleet.
type lineage struct {
	fleet, entries Declaration
	node           string
}

// find returns the value of a key in effect at the node and the path of the node
// that sets it, empty for the fleet. If no node sets the key, it returns the default
// value and "default".
func (l lineage) find(key string) (string, string) {
	for node := l.node; node != ""; node = parent(node) {
		if v, ok := l.entries.Find(node, key); ok {
			return v, node
		}
	}
	if v, ok := l.fleet.Find("", key); ok {
		return v, ""
	}
	return FindKey(key, inheritingLevels).Default, "default"
}

// value returns the value of a key in effect at the node.
func (l lineage) value(key string) string {
	v, _ := l.find(key)
	return v
}

// parent returns the path of a node's parent: the path without the node's section and name.
func parent(node string) string {
	for range 2 {
		i := strings.LastIndexByte(node, '/')
		if i < 0 {
			return ""
		}
		node = node[:i]
	}
	return node
}

// effective resolves all inheritable keys at a service or tier node.
func (l lineage) effective(f *Fleet, tier string) *Effective {
	service := l.node
	if levelOf(service) == LevelTier {
		service = parent(service)
	}
	e := &Effective{
		Workspace: WorkspaceName(l.node), Service: lastName(service), Tier: tier,
		Rank:        slices.Index(f.Tiers, tier),
		Repeatable:  l.value(KeyRepeatable) == "true",
		Witness:     l.value(KeyWitness) == "true",
		Affinity:    l.value(KeyAffinity) == "true",
		Endpoints:   splitNames(l.value(KeyEndpoints)),
		Models:      splitNames(l.value(KeyModels)),
		Weight:      l.number(KeyWeight),
		RetryBudget: l.number(KeyRetryBudget),
		MaxQueued:   int(l.number(KeyQueue)),
		MaxTokens:   int(l.number(KeyMaxTokens)),
		MaxBody:     int64(l.number(KeyMaxBody)),
	}
	e.Deadline, _ = time.ParseDuration(l.value(KeyDeadline))
	_, e.RateScope = l.find(KeyRate)
	e.Rate = l.number(KeyRate)
	_, e.ConcurrencyScope = l.find(KeyConcurrency)
	e.Concurrency = int(l.number(KeyConcurrency))
	return e
}

// number returns a value as a number. It ignores errors because Parse has checked the values.
func (l lineage) number(key string) float64 {
	v, _ := strconv.ParseFloat(l.value(key), 64)
	return v
}

// Explanation is the value of one key in effect at a node and its origin.
type Explanation struct {
	// Key and Value are the key and its value in effect.
	Key   string `json:"key"`
	Value string `json:"value"`
	// From is the path of the node that sets the value, "fleet" or "default".
	From string `json:"from"`
}

// Explain returns the keys in effect at a node of a declaration: the inheritable
// keys, or at an endpoint, model or placement the keys of its level. It returns false
// if the node does not exist.
func Explain(d Declaration, node string) ([]Explanation, bool) {
	if _, ok := d.Find(node, ""); !ok && node != "" {
		return nil, false
	}
	level := levelOf(node)
	l := lineage{fleet: d, entries: d, node: node}
	var out []Explanation
	for i := range Keys {
		k := &Keys[i]
		switch {
		case level&inheritingLevels == 0 && k.Levels&level != 0:
			v, ok := d.Find(node, k.Name)
			from := node
			if !ok {
				v, from = k.Default, "default"
			}
			out = append(out, Explanation{k.Name, v, from})
		case level&inheritingLevels != 0 && k.Levels&inheritingLevels != 0:
			v, from := l.find(k.Name)
			if from == "" {
				from = "fleet"
			}
			out = append(out, Explanation{k.Name, v, from})
		}
	}
	return out, true
}
