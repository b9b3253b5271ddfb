// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/heathkeel/heathkeel/route"
)

// Times of admission.
const (
	// defaultDeadline applies if neither the caller nor the route sets a deadline.
	defaultDeadline = 60 * time.Second
	// maxDeadline limits the deadline that a caller may set.
	maxDeadline = time.Hour
)

// admit determines the route, service and workspace of a request and whether it may run. It returns the refusal, or nil.
// The order of the checks matters: the cheapest come first, and those whose refusal masks the fewest other reasons.
func (c *call) admit() *refusal {
	if f := c.checkStop(); f != nil {
		return f
	}
	src, age := c.s.Settings.InForce()
	if src == nil {
		c.s.Count.NoSettings.Add(1)
		return &refusal{status: http.StatusServiceUnavailable, why: "no settings yet; come back", retryAfter: minRetryAfter}
	}
	c.table, c.timings.settingsAge = src.Table, age
	for _, check := range []func() *refusal{c.checkConfirmed, c.reserveHead, c.checkSettings, c.findRoute, c.findWorkspace, c.parseHeaders, c.checkStop, c.readBody, c.checkHeld, c.takeQuota} {
		if f := check(); f != nil {
			return f
		}
	}
	return nil
}

// callBytes is the memory, in bytes, that a request takes beside its header, body and response: the buffers of its two connections,
// of a stream or a large response, and two goroutines.
const callBytes = 48 << 10

// headerLineBytes is the memory of a header line beside its name and value, in bytes.
const headerLineBytes = 100

// reserveHead counts the request's header and fixed memory.
func (c *call) reserveHead() *refusal {
	n := int64(callBytes + len(c.r.RequestURI))
	for name, values := range c.r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + headerLineBytes)
		}
	}
	if c.memory.Reserve(Heads, n) {
		return nil
	}
	return c.refuseMemory()
}

// refuseMemory refuses a request that does not fit into the host's memory.
func (c *call) refuseMemory() *refusal {
	c.s.Count.Memory.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "too many bytes held; come back", retryAfter: time.Second}
}

// checkSettings refuses a request while the settings are too old: they may hold routes that were dropped or moved so long ago
// that no request may be decided by them any more. As with the endpoint list, none of the steps that refresh the settings has
// bounded duration, so the limit on their age is enforced here.
func (c *call) checkSettings() *refusal { return c.checkSettingsAge(c.timings.settingsAge) }

// checkSettingsAge refuses a request if settings of the given age may not decide on it.
func (c *call) checkSettingsAge(age time.Duration) *refusal {
	if c.s.Settings.Usable(age) {
		return nil
	}
	c.s.Count.Stale.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, why: "settings are too old; use another host, or come back", retryAfter: unconfirmedRetryAfter}
}

// refuseUnknown refuses what settings of an age do not contain, provided that they are known to be the newest.
func (c *call) refuseUnknown(age time.Duration, status int, why string) *refusal {
	if age < 0 || age > c.s.ageLimits.Load().MaxUnknownAge {
		c.s.Count.Stale.Add(1)
		return &refusal{status: http.StatusServiceUnavailable, why: "settings are too old to say; come back", retryAfter: time.Second}
	}
	return &refusal{status: status, why: why}
}

// findRoute finds the route and picks the service.
func (c *call) findRoute() *refusal {
	c.uri = c.r.RequestURI
	if !strings.HasPrefix(c.uri, "/") {
		c.uri = c.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(c.uri, "?")
	c.route = c.table.Match(c.r.Host, path)
	if c.route == nil {
		c.s.Count.NoRoute.Add(1)
		return c.refuseUnknown(c.timings.settingsAge, http.StatusNotFound, "no route for this host and path")
	}
	c.service = c.table.Service(c.route.PickTarget(rand.Float64()))
	if c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, why: "the route has no service; come back", retryAfter: time.Second}
	}
	return nil
}

// findWorkspace finds the workspace for which the request runs, by the caller's key.
func (c *call) findWorkspace() *refusal {
	if c.route.Public || len(c.table.Document.Workspaces) == 0 {
		return nil
	}
	if !c.s.acceptsKeys(c.timings.settingsAge) {
		return c.refuseStaleKeys()
	}
	if c.workspace = c.workspaceForKey(c.table); c.workspace == nil {
		c.s.Count.NoKey.Add(1)
		return c.refuseUnknown(c.timings.settingsAge, http.StatusUnauthorized, "unknown key; send one in Authorization")
	}
	return nil
}

// parseHeaders parses the request ID, the deadline and the token counts.
func (c *call) parseHeaders() *refusal {
	h, n := c.r.Header, &c.s.Headers
	bad := func(name string) *refusal {
		c.s.Count.Bad.Add(1)
		return &refusal{status: http.StatusBadRequest, why: "bad header " + name + "; see the reference"}
	}
	ids := h[http.CanonicalHeaderKey(n.AttemptID)]
	if len(ids) != 1 || ids[0] == "" {
		return bad(n.AttemptID)
	}
	c.id = ids[0]
	if resumes := h[http.CanonicalHeaderKey(n.Resumes)]; len(resumes) > 1 || (len(resumes) == 1 && len(resumes[0]) > maxResumesBytes) {
		return bad(n.Resumes)
	}
	if !c.relayed.parseRelayHeader(h) {
		return bad(relayHeader)
	}
	if c.relayed.from != "" {
		c.s.Count.RelayedHere.Add(1)
	}
	c.deadline = c.arrived + defaultDeadline
	if v := h.Get(n.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(ms) || ms < 0 {
			return bad(n.Deadline)
		}
		c.deadline = c.arrived + time.Duration(min(ms*float64(time.Millisecond), float64(maxDeadline)))
	}
	if c.route.Timeout > 0 {
		c.deadline = min(c.deadline, c.arrived+c.route.Timeout)
	}
	if v := h.Get(n.Tokens); v != "" {
		in, out, _ := strings.Cut(v, ",")
		var err1, err2 error
		c.tokensIn, err1 = strconv.Atoi(strings.TrimSpace(in))
		c.tokensOut, err2 = strconv.Atoi(strings.TrimSpace(out))
		if err1 != nil || err2 != nil || c.tokensIn < 0 || c.tokensOut < 0 {
			return bad(n.Tokens)
		}
		c.tokensDeclared = true
	}
	if v := h.Get(n.LengthHint); v != "" {
		// An invalid hint is ignored.
		c.lengthHint, _ = strconv.Atoi(v)
	}
	if c.service.KVCapacity > 0 && c.tokensIn > c.service.KVCapacity {
		c.s.Count.Bad.Add(1)
		return &refusal{status: http.StatusRequestEntityTooLarge, why: "prompt is larger than the memory of any endpoint"}
	}
	return nil
}

// readBody reads the whole body, so that it can be sent more than once.
func (c *call) readBody() *refusal {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	maxBytes := c.table.Document.Limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	tooLarge := &refusal{status: http.StatusRequestEntityTooLarge, why: "body is too large"}
	if c.r.ContentLength > maxBytes {
		c.s.Count.Bad.Add(1)
		return tooLarge
	}
	_ = c.rc.SetReadDeadline(time.Now().Add(c.deadline - c.s.Now()))
	body, err := c.readReserved(maxBytes)
	_ = c.rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errBodyMemory):
		return c.refuseMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.s.Count.Bad.Add(1)
		return &refusal{status: http.StatusRequestTimeout, why: "the body did not come in time"}
	case err != nil:
		c.s.Count.Gone.Add(1)
		return &refusal{status: http.StatusBadRequest, why: "the body broke off"}
	case int64(len(body)) > maxBytes:
		c.s.Count.Bad.Add(1)
		return tooLarge
	}
	c.body, c.hasBody = body, true
	return nil
}

// defaultMaxBody is the body limit, in bytes, if the settings have none.
const defaultMaxBody = 4 << 20

// errBodyMemory means that a body would exceed Server.BodyMemory.
var errBodyMemory = errors.New("request body would exceed the memory for bodies")

// readReserved reads a body and counts its buffer against Server.BodyMemory.
func (c *call) readReserved(maxBytes int64) ([]byte, error) {
	size := max(c.r.ContentLength, initialBodyBuffer)
	if !c.reserve(size) {
		return nil, errBodyMemory
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if !c.reserve(int64(cap(buf))) {
				return nil, errBodyMemory
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := c.r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if int64(len(buf)) > maxBytes {
			return buf, nil
		}
	}
}

// initialBodyBuffer is the initial buffer size, in bytes, for a body of unknown length.
const initialBodyBuffer = 1 << 10

// reserve counts n bytes against Server.BodyMemory and Server.Memory. It returns false if they would exceed one of them.
func (c *call) reserve(n int64) bool {
	if c.s.bodyBytes.Add(n) > c.s.BodyMemory || !c.memory.Reserve(RequestBodies, n) {
		c.s.bodyBytes.Add(-n)
		return false
	}
	c.heldBytes += n
	return true
}

// rankPair is the rank of a request: first by workspace, then by route.
type rankPair struct{ workspace, route int }

// rankFor returns the rank of the requests of a workspace, or of none, on a route.
func rankFor(w *route.Workspace, r *route.Route) rankPair {
	if w == nil {
		return rankPair{0, r.Rank}
	}
	return rankPair{w.Rank, r.Rank}
}
