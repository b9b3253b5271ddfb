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

// lineage looks values up from a node towards the fleet.
type lineage struct {
	fleet, entries Declaration
	node           string
}

// find returns the value of a key in force at the node and the node that sets
// it; with no such node the value is the default and the node "default".
func (l lineage) find(key string) (string, string) {
	for node := l.node; node != ""; node = parent(node) {
		if v, ok := l.entries.Find(node, key); ok {
			return v, node
		}
	}
	if v, ok := l.fleet.Find("", key); ok {
		return v, ""
	}
	return FindKey(key, inherited).Default, "default"
}

// value returns the value of a key in force at the node.
func (l lineage) value(key string) string {
	v, _ := l.find(key)
	return v
}

// parent returns the path two parts shorter: a node without its section and name.
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

// effective resolves every key at a service or tier node.
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
		Endpoints:   split(l.value(KeyEndpoints)),
		Models:      split(l.value(KeyModels)),
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

// number returns a value as a number; values were checked when they were read.
func (l lineage) number(key string) float64 {
	v, _ := strconv.ParseFloat(l.value(key), 64)
	return v
}

// Explanation is one key in force at a node and where it comes from.
type Explanation struct {
	// Key and Value are the key and its value in force.
	Key   string `json:"key"`
	Value string `json:"value"`
	// From is the node that sets it, "fleet" or "default".
	From string `json:"from"`
}

// Explain returns every inheritable key in force at a node of a declaration;
// it returns false if the node does not exist.
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
		case level&inherited == 0 && k.Levels&level != 0:
			v, ok := d.Find(node, k.Name)
			from := node
			if !ok {
				v, from = k.Default, "default"
			}
			out = append(out, Explanation{k.Name, v, from})
		case level&inherited != 0 && k.Levels&inherited != 0:
			v, from := l.find(k.Name)
			if from == "" {
				from = "fleet"
			}
			out = append(out, Explanation{k.Name, v, from})
		}
	}
	return out, true
}
