// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockingWriter is a response to a host whose link is slow: it is written only once it is released.
type blockingWriter struct {
	*httptest.ResponseRecorder
	writing, release chan struct{}
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.release
	return w.ResponseRecorder.Write(b)
}

// gzipRequest returns a request of another host.
func gzipRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/v1/endpoints", nil)
	r.Header.Set("Accept-Encoding", "gzip")
	return r
}

// TestAnswersLimitBytesInFlight checks that a host refuses at once what its link cannot carry in time, and answers again once there
// is room.
func TestAnswersLimitBytesInFlight(t *testing.T) {
	a := answers{Now: func() time.Duration { return 0 }, MaxBytes: 100}
	body := func() any { return strings.Repeat("x", 10) } // more than half of MaxBytes with the header of gzip
	slow := &blockingWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	done := make(chan error)
	go func() { done <- a.write(slow, gzipRequest(), "1", 0, body) }()
	<-slow.writing
	a.MaxBytes = a.sending + 1
	w := httptest.NewRecorder()
	must.NoError(t, a.write(w, gzipRequest(), "1", 0, body))
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	close(slow.release)
	must.NoError(t, <-done)
	w = httptest.NewRecorder()
	must.NoError(t, a.write(w, gzipRequest(), "1", 0, body))
	must.EqOp(t, http.StatusOK, w.Code)
	must.Zero(t, a.sending)
}

// TestAnswersEncodeOnce checks that an answer is encoded again only for another version or after its time, and that it can be read
// with and without compression.
func TestAnswersEncodeOnce(t *testing.T) {
	now := time.Duration(0)
	a := answers{Now: func() time.Duration { return now }, MaxBytes: 1 << 20}
	made := 0
	body := func() any { made++; return map[string]int{"made": made} }
	get := func(version string, ttl time.Duration) int {
		w := httptest.NewRecorder()
		must.NoError(t, a.write(w, gzipRequest(), version, ttl, body))
		r, err := gzip.NewReader(w.Body)
		must.NoError(t, err)
		var got map[string]int
		must.NoError(t, json.NewDecoder(r).Decode(&got))
		return got["made"]
	}
	must.EqOp(t, 1, get("a", 0))
	now = time.Hour
	must.EqOp(t, 1, get("a", 0))
	must.EqOp(t, 2, get("b", time.Second))
	must.EqOp(t, 2, get("b", time.Second))
	now += time.Second
	must.EqOp(t, 3, get("b", time.Second))
	w := httptest.NewRecorder()
	must.NoError(t, a.write(w, httptest.NewRequest(http.MethodGet, "/v1/endpoints", nil), "b", 0, body))
	must.EqOp(t, "{\"made\":4}\n", w.Body.String())
}
