// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/ingress"
)

// Hosts of large fleets fetch lists and settings from few others, all at about the same time. So that this
// takes less than fetchTimeout, answers are compressed, those that many hosts ask for only once, and no more
// are sent at a time than the host's link carries; the others are refused at once and asked for again.

const (
	// sendTime is the time within which all answers that are being sent fit through the link: well below
	// fetchTimeout.
	sendTime = 300 * time.Millisecond
	// minAnswerBytes is the number of bytes that may be sent at a time in any case.
	minAnswerBytes = 256 << 10
	// answerTTL is the time for which an answer with ages in it is sent again as it was.
	answerTTL = 200 * time.Millisecond
)

// answers are the answers to other hosts that are being sent, or are sent again and again. The fields must be
// set before the first call.
type answers struct {
	// Now is the host's clock.
	Now func() time.Duration
	// MaxBytes limits the bytes that are being sent at a time; a single answer may be larger.
	MaxBytes int
	// Memory counts the cached answers; nil counts none.
	Memory *ingress.Holder

	mu      sync.Mutex
	sending int
	cached  map[string]cachedAnswer // by path
}

// cachedAnswer is a compressed answer.
type cachedAnswer struct {
	version string
	madeAt  time.Duration
	body    []byte
}

// maxAnswerBytes returns the bytes that a host may send at a time over a link; 0 Mbit/s is an unknown one.
func maxAnswerBytes(linkMbps float64) int {
	return max(minAnswerBytes, int(linkMbps*1e6/8*sendTime.Seconds()))
}

// write answers a request for a version of something; body returns it. Equal versions are encoded once within
// ttl, or once at all if ttl is 0.
func (a *answers) write(w http.ResponseWriter, r *http.Request, version string, ttl time.Duration, body func() any) error {
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return json.NewEncoder(w).Encode(body()) // a person who looks at it
	}
	encoded, err := a.encoded(r.URL.Path, version, ttl, body)
	if errors.Is(err, errNoMemory) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return err
	}
	if !a.begin(len(encoded)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	defer a.end(len(encoded))
	w.Header().Set("Content-Encoding", "gzip")
	_, err = w.Write(encoded)
	return err
}

// encoded returns the compressed answer, which is encoded again only if it has changed.
func (a *answers) encoded(path, version string, ttl time.Duration, body func() any) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	if c, ok := a.cached[path]; ok && c.version == version && (ttl == 0 || now-c.madeAt < ttl) {
		return c.body, nil
	}
	encoded, err := encodeAnswer(body())
	if err != nil {
		return nil, err
	}
	if a.Memory != nil {
		if !a.Memory.Reserve(ingress.Peers, int64(len(encoded))) {
			return nil, errNoMemory
		}
		a.Memory.Free(ingress.Peers, int64(len(a.cached[path].body)))
	}
	if a.cached == nil {
		a.cached = make(map[string]cachedAnswer)
	}
	a.cached[path] = cachedAnswer{version, now, encoded}
	return encoded, nil
}

// encodeAnswer encodes a value as compressed JSON.
func encodeAnswer(v any) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "cannot compress an answer")
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, eris.Wrap(err, "cannot encode an answer")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "cannot compress an answer")
	}
	return out.Bytes(), nil
}

// begin reports whether an answer of n bytes may be sent now; if so, end must be called after it.
func (a *answers) begin(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending > 0 && a.sending+n > a.MaxBytes {
		return false
	}
	a.sending += n
	return true
}

// end records that an answer of n bytes was sent.
func (a *answers) end(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending -= n
}
