// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/feed"
	"github.com/heathkeel/heathkeel/peers"
	"github.com/heathkeel/heathkeel/platform"
)

// settingsSource is who sends a configuration: the store, or another host.
type settingsSource struct {
	name string
	body func(document []byte) []byte // of its answer
	gzip bool
	// run makes a host ask until ctx ends.
	run func(ctx context.Context, h *Host)
}

// settingsSources are all ways by which a host learns of a configuration.
var settingsSources = []settingsSource{
	{
		name: "store",
		body: func(document []byte) []byte {
			return encodeJSON(map[string]any{"Items": []any{map[string]any{"TlsKey": platform.KeyConfig, "Value": document, "Revision": 44}}, "at": 44})
		},
		run: func(ctx context.Context, h *Host) { h.settings.Run(ctx) },
	},
	{name: "host", body: peerSettings, run: fetchRepeatedly},
	{name: "host, compressed", body: peerSettings, gzip: true, run: fetchRepeatedly},
}

// peerSettings is the answer of a host that has a configuration in force.
func peerSettings(document []byte) []byte {
	return encodeJSON(settingsBody{Revision: feed.InEra(1, 44), Value: document})
}

// fetchRepeatedly fetches the settings of a peer as heartbeats make a host do.
func fetchRepeatedly(ctx context.Context, h *Host) {
	go h.fetchSettings(ctx)
	for ctx.Err() == nil {
		requestFetch(h.settingsToFetch, peers.Proof{Host: "b", Control: "10.0.0.2:8229", Settings: peers.Version{Known: true, Revision: feed.InEra(1, 44)}})
		time.Sleep(100 * time.Millisecond)
	}
}

// encodeJSON encodes a value that can be encoded.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// framing is how the end of an answer is told.
type framing string

const (
	framedByLength framing = "Content-Length"
	framedByChunks framing = "chunks"
	framedByClose  framing = "closed connection"
)

// chunkBytes is the size of the chunks of an answer: many chunks in a document.
const chunkBytes = 97

// answerBytes returns an answer as it is sent, and the length of its head.
func (s *settingsSource) answerBytes(f framing, document []byte) (answer []byte, head int) {
	body := s.body(document)
	fields := "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
	if s.gzip {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, _ = w.Write(body)
		_ = w.Close()
		body = b.Bytes()
		fields += "Content-Encoding: gzip\r\n"
	}
	switch f {
	case framedByLength:
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case framedByChunks:
		fields += "Transfer-Encoding: chunked\r\n"
		body = chunked(body)
	case framedByClose:
		fields += "Connection: close\r\n"
	}
	fields += "\r\n"
	return append([]byte(fields), body...), len(fields)
}

// chunked returns a body in chunks.
func chunked(body []byte) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// sentAnswer is how an answer is sent.
type sentAnswer struct {
	piece int           // bytes in one write
	pause time.Duration // before each write
	cut   int           // bytes after which it ends, or 0 for all of it
	hang  bool          // the connection stays open after cut bytes
}

// noAnswer sends nothing.
var noAnswer = sentAnswer{hang: true}

// send sends an answer, and closes the connection unless it has to hang.
func (a sentAnswer) send(c net.Conn, answer []byte) {
	if a.cut > 0 || a.hang {
		answer = answer[:a.cut]
	}
	for len(answer) > 0 {
		n := len(answer)
		if a.piece > 0 {
			n = min(n, a.piece)
		}
		time.Sleep(a.pause)
		if _, err := c.Write(answer[:n]); err != nil {
			return
		}
		answer = answer[n:]
	}
	if a.hang {
		_, _ = io.Copy(io.Discard, c) // until the other end closes it
	}
}

// readSettings lets a host that has no configuration ask for one. The first answer is sent as told and the later ones, until the
// configuration is in force, as next tells. It checks that it gets in force as it was written and that none is refused, and returns the
// number of calls until then.
func readSettings(t *testing.T, src settingsSource, f framing, document []byte, first, next sentAnswer) (calls int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		answer, _ := src.answerBytes(f, document)
		var asked atomic.Int64
		var h *Host
		h = newPipeHost(pipeNetwork{serve: func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			switch {
			case h.settings.Current() != nil:
				noAnswer.send(c, answer)
			case asked.Add(1) == 1:
				first.send(c, answer)
			default:
				next.send(c, answer)
			}
		}})
		h.settingsToFetch = make(chan peers.Proof, 1)
		h.agent = &peers.Agent{Table: &peers.Table{Host: "a"}, Now: h.now}
		h.agent.Init()
		ctx, cancel := context.WithCancel(t.Context())
		go src.run(ctx, h)
		for begun := time.Now(); h.settings.Current() == nil && time.Since(begun) < 10*time.Second; {
			time.Sleep(time.Millisecond)
		}
		calls = asked.Load()
		cancel()
		synctest.Wait()
		h.store.HTTP.CloseIdleConnections()
		h.peerHTTP.CloseIdleConnections()
		time.Sleep(time.Second)
		must.Zero(t, h.settings.RefusedCount())
		must.NotNil(t, h.settings.Current())
		must.Eq(t, document, h.settings.Current().Value)
	})
	return calls
}

// validDocument returns a valid configuration with a number of routes.
func validDocument(routes int) []byte {
	type configRoute struct{ Name, Host, PathPrefix, Kind, Service string }
	c := struct {
		Version int
		Routes  []configRoute
	}{Version: 1}
	for i := range routes {
		c.Routes = append(c.Routes, configRoute{fmt.Sprint("route-", i), "shop.example", fmt.Sprintf("/%d/", i), "idempotent", "plain"})
	}
	return encodeJSON(c)
}

// TestSettingsReadInPieces checks that a valid configuration is read by the first call, whoever sends it and however the answer is
// divided into writes and delayed. It guards against a part of an answer that is taken for all of it.
func TestSettingsReadInPieces(t *testing.T) {
	small, large := validDocument(12), validDocument(1400)
	cases := []struct {
		name     string
		document []byte
		sent     sentAnswer
	}{
		{"one write", small, sentAnswer{}},
		{"single bytes", small, sentAnswer{piece: 1}},
		{"pieces of 7 bytes, 0.4 ms apart", small, sentAnswer{piece: 7, pause: 400 * time.Microsecond}},
		{"two pieces, 100 ms apart", small, sentAnswer{piece: 1500, pause: 100 * time.Millisecond}},
		{"a large one in segments", large, sentAnswer{piece: 1448}},
		{"a large one in segments, 0.2 ms apart", large, sentAnswer{piece: 1448, pause: 200 * time.Microsecond}},
	}
	for _, src := range settingsSources {
		for _, f := range []framing{framedByLength, framedByChunks, framedByClose} {
			for _, tc := range cases {
				t.Run(fmt.Sprint(src.name, ", ", f, ", ", tc.name), func(t *testing.T) {
					readSettings(t, src, f, tc.document, tc.sent, noAnswer)
				})
			}
		}
	}
}

// TestTruncatedSettingsAreAskedForAgain checks that an answer that ends early, or stops in the middle, is an error of the call: the
// configuration is asked for again, and none is refused. The store and other hosts may close connections at any byte.
func TestTruncatedSettingsAreAskedForAgain(t *testing.T) {
	const step = 61 // bytes between two cuts
	document := validDocument(12)
	for _, src := range settingsSources {
		for _, f := range []framing{framedByLength, framedByChunks, framedByClose} {
			answer, head := src.answerBytes(f, document)
			cuts := []int{1, head - 1, head, head + 1, len(answer) - 6}
			for cut := head + 2; cut < len(answer)-6; cut += step {
				cuts = append(cuts, cut)
			}
			for _, hang := range []bool{false, true} {
				t.Run(fmt.Sprint(src.name, ", ", f, ", hangs: ", hang), func(t *testing.T) {
					for _, cut := range cuts {
						must.Greater(t, 1, readSettings(t, src, f, document, sentAnswer{cut: cut, hang: hang}, sentAnswer{}), must.Sprint("cut after ", cut))
					}
				})
			}
		}
	}
}
