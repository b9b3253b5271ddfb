// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"strings"
	"time"
)

// Requests that are all unlike may share a part of their prompts that crashes endpoints. A Registry of
// parts counts crashes under parts in the way that one of requests counts them under whole requests,
// but for two differences. Many requests hold a part at the same time, so that an end of an endpoint
// says little about it: neither the state of the request nor the time that it had run are counted.
// And most parts are shared with innocent requests, which are answered all the time: a part that was
// answered within clearTime is not suspected. What crashes endpoints is never answered.

const (
	// clearTime is the time after an answer for which a part is not suspected. It is long enough
	// for parts that come once in some seconds at one of many hosts, and short enough that a part which
	// begins to crash endpoints, for instance at a new version of their software, is found in a minute.
	clearTime = time.Minute
	// maxParts limits the parts of a prompt that are counted, and maxPartBytes the length of a part's
	// ID; further and longer ones are left out.
	maxParts     = 64
	maxPartBytes = 64
)

// Part identifies a part of prompts to a service.
type Part struct {
	// Service is the name of the service: another one may have other software.
	Service string
	// ID is the part's ID, a digest of its content.
	ID string
}

// Fingerprint returns the first 128 bits of SHA-256 over the fields.
func (p *Part) Fingerprint() Fingerprint {
	r := Request{Workspace: "\x00part", Host: p.Service, URI: p.ID}
	return r.Fingerprint()
}

// SharedParts returns the IDs of the parts of a prompt but the last, which is the request's own; list
// holds the parts in order as ID:TOKENS separated by commas. Parts without an ID are left out.
func SharedParts(list string) []string {
	var out []string
	for len(out) < maxParts {
		part, rest, more := strings.Cut(list, ",")
		if !more {
			break
		}
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if id != "" && len(id) <= maxPartBytes {
			out = append(out, id)
		}
		list = rest
	}
	return out
}

// recentAnswers remembers when parts were answered last, for clearTime at least. The zero value
// remembers none.
type recentAnswers struct {
	current, previous map[Fingerprint]time.Duration // generations of clearTime each
	rotatedAt         time.Duration
}

// maxAnswers limits the parts remembered in each of two generations, to some megabytes in all.
const maxAnswers = 1 << 15

// note records an answer.
func (a *recentAnswers) note(now time.Duration, f Fingerprint) {
	if a.current == nil || now-a.rotatedAt >= clearTime || len(a.current) >= maxAnswers {
		a.current, a.previous = make(map[Fingerprint]time.Duration), a.current
		a.rotatedAt = now
	}
	a.current[f] = now
}

// last returns when a part was answered last, and false if that is not remembered.
func (a *recentAnswers) last(f Fingerprint) (time.Duration, bool) {
	at, ok := a.current[f]
	if !ok {
		at, ok = a.previous[f]
	}
	return at, ok
}

// clearedFor returns the time after an answer for which crashes are not counted.
func (reg *Registry) clearedFor() time.Duration {
	if reg.Parts {
		return clearTime
	}
	return 0
}

// clearedHere reports whether this host has answered a part so recently that a crash at a time is not
// counted, and tells the hosts that do not know of the answer.
func (reg *Registry) clearedHere(now time.Duration, f Fingerprint, at time.Duration, local bool) bool {
	answered, ok := reg.answers.last(f)
	if !ok || at > answered+clearTime {
		return false
	}
	if !local {
		reg.suspect(f) // carries the answer to other hosts
		reg.clearCrashes(now, f, answered, true)
	}
	return true
}
