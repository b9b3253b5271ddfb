// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// scriptCase is an answer by a script, and the request for it.
type scriptCase struct {
	Script
	path   string
	upload int  // size of the request's body, in bytes
	valid  bool // the head is one of HTTP
}

// validLines and invalidLines are lines of a head.
var (
	validLines   = []string{"", "X-Note: a\tb\r\n", "X-Note: a\r\n b\r\n"}
	invalidLines = []string{
		"X Note: a\r\n", "Content-Length : 3\r\n", "Transfer-Encoding : chunked\r\n", "X\x01Note: a\r\n", "X-Note: a\x00b\r\n", ": a\r\n",
	}
)

// setRandomHead sets the status and further lines; one head in four is invalid.
func (c *scriptCase) setRandomHead(r *rand.Rand) {
	c.Status, c.Lines, c.valid = "200 OK", validLines[r.IntN(len(validLines))], false
	switch r.IntN(8) {
	case 0:
		c.Status = []string{"000 Trouble", "042 Trouble"}[r.IntN(2)]
	case 1:
		c.Lines = invalidLines[r.IntN(len(invalidLines))]
	default:
		c.valid = true
	}
}

// randomScriptCase returns a case by chance.
func randomScriptCase(r *rand.Rand) scriptCase {
	var c scriptCase
	c.setRandomHead(r)
	c.path = []string{"/push/a", "/ask/a", "/draft/a", "/review/a"}[r.IntN(4)]
	c.upload = []int{1_000, 20_000, 300_000, uploadBytes}[r.IntN(4)]
	c.Framing = []Framing{ByConnection, ByConnection, ByLength, ByChunks}[r.IntN(4)]
	c.Ending = []Ending{ByReset, ByClose, InOrder}[r.IntN(3)]
	if c.Ending == ByClose && c.upload < 300_000 {
		c.Ending = ByReset // all of a short body may have been read, so that a close is one in order
	}
	c.Read = r.Int64N(int64(c.upload) / 3)
	c.Body = StreamBody(streamEvents)
	if c.path == "/push/a" || c.path == "/ask/a" {
		c.Body = strings.Repeat("word ", 1+r.IntN(2_000))
	}
	c.Sent = len(c.Body)
	if r.IntN(3) == 0 && (c.Framing != ByConnection || c.Ending != InOrder) { // what ends in order, without a length, is whole
		c.Sent = r.IntN(len(c.Body))
	}
	return c
}

// whole reports whether the endpoint sends a whole answer.
func (c *scriptCase) whole() bool {
	return c.valid && c.Sent == len(c.Body) && (c.Framing != ByConnection || c.Ending == InOrder)
}

// TestRandomAnswersDuringUpload lets endpoints answer by chance while a body is on its way to them. It compares what callers get with what the
// endpoints sent: a whole answer is served, and anything else is none.
func TestRandomAnswersDuringUpload(t *testing.T) {
	s := startTestSite(t, 6)
	s.allowUploads(t)
	s.testRandomAnswers(t, 1)
}

// TestRelayedRandomAnswersDuringUpload does the same by another host.
func TestRelayedRandomAnswersDuringUpload(t *testing.T) {
	s := startCutOff(t, 2)
	s.allowUploads(t)
	s.testRandomAnswers(t, 2)
}

// testRandomAnswers sends requests to the hosts in turn; those that are cut off come first.
func (s *testSite) testRandomAnswers(t *testing.T, seed uint64) {
	const answers = 80
	r := rand.New(rand.NewPCG(seed, 0))
	hosts := s.Hosts
	if s.Cuttable {
		hosts = hosts[:1]
	}
	whole := 0
	for n := range answers {
		c, id := randomScriptCase(r), fmt.Sprint("script-", n)
		for i := range 2 {
			s.plain[i].SetScript(c.Script)
			s.engines[i].SetScript(c.Script)
		}
		s.setFaults(EarlyScript, 9)
		call := Call{Path: c.path, Key: Key, ID: id, Body: strings.Repeat("u", c.upload), Tokens: "20,30"}
		var a Answer
		s.await(t, "an endpoint is used again", func() bool { // after broken answers they rest
			a = Do(hosts[n%len(hosts)].Boot.Front, call)
			return a.Status != 503
		})
		s.setFaults(None, 0)
		c.check(t, n, a, s.countRuns(id))
		if c.whole() {
			whole++
		}
	}
	must.Between(t, answers/8, whole, answers/2)
}

// check compares an answer with the script.
func (c *scriptCase) check(t *testing.T, n int, a Answer, runs int) {
	t.Helper()
	what := must.Sprintf("answer %d: %d of %d bytes, %q %q, by %s, %s after %d of %d bytes to %s: status %d, %d bytes, complete %v",
		n, c.Sent, len(c.Body), c.Status, c.Lines, c.Framing, c.Ending, c.Read, c.upload, c.path, a.Status, len(a.Body), a.Complete)
	must.Positive(t, runs, what)
	if !c.whole() {
		must.False(t, a.Status == 200 && a.Complete, what)
	} else {
		must.EqOp(t, 200, a.Status, what)
		must.True(t, a.Complete, what)
		must.EqOp(t, c.Body, a.Body, what)
	}
	if c.whole() || c.path == "/push/a" || c.path == "/draft/a" {
		must.EqOp(t, 1, runs, what)
	}
}
