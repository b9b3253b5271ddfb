// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Sizes of answers without an end, in bytes.
const (
	// endlessBytes bounds what a test sends, so that a missing limit fails the test instead of taking all memory.
	endlessBytes = 192 << 20
	// maxAllocated limits what may be allocated for one answer, most of it the growing buffer of the decoder.
	maxAllocated = 48 << 20
)

// TestEndlessReports lets an endpoint answer a question for its load without an end. It guards against one faulty endpoint that takes all
// memory of a host.
func TestEndlessReports(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	x := strings.Repeat("x", 1000)
	cases := []struct{ name, first, next string }{
		{"bytes that are no response", "", "\x00\xff"},
		{"status line", "HTTP/1.1 200 ", x},
		{"header line", head + "A: ", x},
		{"header lines", head, "A: " + x + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: " + x + "\r\n\r\n"},
		{"text of a field", head + "\r\n" + `{"running":1,"x":"`, x},
		{"events", head + "\r\n" + `{"events":[{}`, ",{}"},
		{"blanks", head + "\r\n", "          "},
		{"number", head + "\r\n" + `{"running":1`, "0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := rawService{answer: tc.first, next: tc.next}
			c := Client{Base: s.start(t), HTTP: &http.Client{Transport: NewEngineTransport(1)}}
			var err error
			allocated := allocatedBy(func() { _, err = c.Report(t.Context(), 0) })
			must.Error(t, err)
			must.Less(t, maxAllocated, allocated)
		})
	}
}

// TestEndlessHeadsOfServices does the same for calls to a plain service, whose body is forwarded as it comes.
func TestEndlessHeadsOfServices(t *testing.T) {
	for _, first := range []string{"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: "} {
		s := rawService{answer: first, next: "\x01" + strings.Repeat("x", 1000)}
		var err error
		allocated := allocatedBy(func() { _, err = s.callRaw(t, 0) })
		must.ErrorIs(t, err, ErrLost, must.Sprint(first))
		must.Less(t, maxAllocated, allocated)
	}
}

// allocatedBy returns the bytes that f allocates.
func allocatedBy(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}
