// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of two sockets.
const uploadBytes = 4 << 20

// allowUploads puts a configuration in force that allows bodies of uploadBytes.
func (s *testSite) allowUploads(t *testing.T) {
	t.Helper()
	c := Example()
	c.Version, c.Limits.BodyBytes = 2, 2*uploadBytes
	s.Store.Put(platform.KeyConfig, c)
	n := 0
	s.await(t, "long bodies are taken", func() bool {
		n++
		return Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("upload-", n), Body: strings.Repeat("b", c.Limits.BodyBytes/4)}).Status == 200
	})
}

// TestAnswersDuringUpload lets endpoints answer while a long body is still on its way to them. No part of an answer whose connection was
// reset may look whole, and no whole one may be lost.
func TestAnswersDuringUpload(t *testing.T) {
	s := startTestSite(t, 1)
	s.allowUploads(t)
	s.testAnswersDuringUpload(t)
}

// TestRelayedAnswersDuringUpload does the same by another host.
func TestRelayedAnswersDuringUpload(t *testing.T) {
	s := startCutOff(t, 2)
	s.allowUploads(t)
	s.testAnswersDuringUpload(t)
}

// testAnswersDuringUpload sends the requests of TestAnswersDuringUpload to the first host.
func (s *testSite) testAnswersDuringUpload(t *testing.T) {
	cases := []struct {
		fault Fault
		whole bool
	}{
		{EarlyReset, false}, {EarlyClose, false}, {EarlyLate, false}, {EarlyLarge, false}, {EarlyTorn, false},
		{EarlyFramed, true}, {EarlyEnd, true}, {EarlyFinish, true}, {EarlyInterim, true},
	}
	upload := strings.Repeat("u", uploadBytes)
	for _, tc := range cases {
		for _, path := range []string{"/push/a", "/ask/a", "/draft/a", "/review/a"} {
			t.Run(fmt.Sprintf("%s %s", tc.fault, path), func(t *testing.T) {
				id := fmt.Sprintf("%s %s", tc.fault, path)
				s.setFaults(tc.fault, 9)
				a := Do(s.Hosts[0].Boot.Front, Call{Path: path, Key: Key, ID: id, Body: upload, Tokens: "20,30"})
				s.setFaults(None, 0)
				must.Positive(t, s.countRuns(id))
				if !tc.whole {
					must.False(t, a.Status == 200 && a.Complete, must.Sprintf("%d bytes as a whole answer", len(a.Body)))
					return
				}
				must.EqOp(t, 200, a.Status)
				must.True(t, a.Complete)
				want := "ran " + id + " early"
				if path == "/draft/a" || path == "/review/a" {
					want = StreamBody(streamEvents)
				}
				must.EqOp(t, want, a.Body)
				must.EqOp(t, 1, s.countRuns(id))
			})
		}
	}
}

// TestHedgedAnswersDuringUpload does the same for requests that go to a second endpoint because the first one is silent.
func TestHedgedAnswersDuringUpload(t *testing.T) {
	s := startTestSite(t, 1)
	s.allowUploads(t)
	upload := strings.Repeat("u", uploadBytes)
	for _, fault := range []Fault{EarlyReset, EarlyClose, EarlyEnd, EarlyFramed} {
		for _, path := range []string{"/ask/a", "/review/a"} {
			t.Run(fmt.Sprintf("%s %s", fault, path), func(t *testing.T) {
				id := fmt.Sprintf("hedged %s %s", fault, path)
				ShareFaults([]Fault{Hang, fault}, s.plain[0], s.plain[1], s.engines[0], s.engines[1])
				a := Do(s.Hosts[0].Boot.Front, Call{Path: path, Key: Key, ID: id, Body: upload, Tokens: "20,30"})
				s.setFaults(None, 0)
				must.EqOp(t, 2, s.countRuns(id))
				whole := fault == EarlyEnd || fault == EarlyFramed
				must.EqOp(t, whole, a.Status == 200 && a.Complete, must.Sprintf("status %d, %d bytes", a.Status, len(a.Body)))
			})
		}
	}
}
