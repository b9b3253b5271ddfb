// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fragments are what mutations put into requests.
var fragments = []string{
	"\r\n", "\n", "\r", "\x00", " ", ":", ",", ";", "%00", "%2e%2e/", "//", "?", "#", "\t",
	"Content-Length: 3\r\n", "Content-Length: -1\r\n", "Content-Length: 99999999999999999999\r\n",
	"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding : chunked\r\n",
	"Connection: close\r\n", "Connection: Heathkeel-Attempt-Id\r\n", "Expect: 100-continue\r\n", "Upgrade: h2c\r\n",
	"Host: other.example\r\n", "Heathkeel-Attempt-Id: forged\r\n", "Heathkeel-Tenant: forged\r\n",
	"Heathkeel-Deadline-Ms: -5\r\n", "Heathkeel-Deadline-Ms: 1e999\r\n", "Heathkeel-Deadline-Ms: NaN\r\n",
	"Heathkeel-Token-Count: 1\r\n", "Heathkeel-Token-Count: 9223372036854775808,1\r\n", "Last-Event-Id: -1\r\n",
	"Heathkeel-Length-Hint: x\r\n", "Authorization: Token \r\n", "HTTP/1.0", "HTTP/9.9",
}

// mutate changes a request in some places.
func mutate(r *rand.Rand, b []byte) []byte {
	for range 1 + r.IntN(3) {
		i := r.IntN(len(b))
		switch r.IntN(5) {
		case 0:
			b = append(append(bytes.Clone(b[:i]), fragments[r.IntN(len(fragments))]...), b[i:]...)
		case 1: // a line of its own in the header
			if end := bytes.Index(b, []byte("\r\n")); end >= 0 {
				f := fragments[r.IntN(len(fragments))]
				b = append(append(bytes.Clone(b[:end+2]), f...), b[end+2:]...)
			}
		case 2:
			b = append(bytes.Clone(b[:i]), b[min(len(b), i+1+r.IntN(6)):]...)
		case 3:
			b = bytes.Clone(b)
			b[i] = byte(r.IntN(256))
		case 4:
			j := min(len(b), i+r.IntN(40))
			b = append(append(bytes.Clone(b[:j]), b[i:j]...), b[j:]...)
		}
		if len(b) == 0 {
			return []byte("x")
		}
	}
	return b
}

// TestMutatedRequests sends requests with random damage, always the same ones, and
// checks that whatever an endpoint ran stood in what a caller sent, with its name, and
// that the host answers with no status but those of the pages.
func TestMutatedRequests(t *testing.T) {
	s := start(t, 1)
	r := rand.New(rand.NewPCG(7, 7))
	known := []string{"100", "200", "400", "401", "404", "405", "408", "413", "417", "429", "431", "500", "501", "502", "503", "504", "505"}
	sent := make(map[string][]byte)
	for i := range 400 {
		id := fmt.Sprintf("mutated-%d", i)
		body := "body of " + id
		whole := fmt.Sprintf("POST /open/%s HTTP/1.1\r\nHost: %s\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
			id, HostName, id, len(body), body)
		b := mutate(r, []byte(whole))
		sent[id] = b
		conn, err := net.Dial("tcp", s.Hosts[0].Boot.Front)
		must.NoError(t, err)
		_, _ = conn.Write(b)
		_ = conn.(*net.TCPConn).CloseWrite()
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
		if line, _ := bufio.NewReader(conn).ReadString('\n'); line != "" {
			f := strings.Fields(line)
			must.SliceContains(t, known, f[1], must.Sprintf("answer to %q", b))
		}
		must.NoError(t, conn.Close())
	}
	must.EqOp(t, http.StatusOK, Do(s.Hosts[0].Boot.Front, Call{Path: "/open/a", ID: "after"}).Status)
	for i := range 2 {
		for _, run := range s.plain[i].Runs() {
			if !strings.Contains(run.URI, "mutated-") {
				continue
			}
			from := ""
			for id, b := range sent {
				if bytes.Contains(b, []byte(run.Method+" "+run.URI+" ")) && bytes.Contains(b, []byte(run.AttemptID)) && bytes.Contains(b, []byte(run.Body)) {
					from = id
				}
			}
			must.NotEq(t, "", from, must.Sprintf("nobody sent %s %q as %q with body %q", run.Method, run.URI, run.AttemptID, run.Body))
		}
	}
}
