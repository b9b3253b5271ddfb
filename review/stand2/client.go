// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/heathkeel/heathkeel/internal/site"
)

// answer is what a client received.
type answer struct {
	id, stamp string
	status    int
	body      string
	err       error // if the connection ended before a complete answer
}

// complete reports whether the answer appears complete.
func (a *answer) complete() bool { return a.err == nil }

// runnerID returns the runner whose stamp the answer carries.
func (a *answer) runnerID() string {
	id, _, _ := strings.Cut(a.stamp, ".")
	return id
}

// request sends a request to a host, on a connection of its own, and reads the answer.
func (f *fleet) request(h *host, method, path string) *answer {
	return f.requestBy(&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}, h, method, path)
}

// requestBy sends a request to a host by a client and reads the answer.
func (f *fleet) requestBy(client *http.Client, h *host, method, path string) *answer {
	a := &answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	req, err := http.NewRequest(method, "http://"+h.front()+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = site.HostName
	req.Header.Set("Heathkeel-Attempt-Id", a.id)
	req.Header.Set("Heathkeel-Deadline-Ms", "12000")
	req.Header.Set("Heathkeel-Model", "m")
	req.Header.Set("Heathkeel-Token-Count", "100,400")
	req.Header.Set("Heathkeel-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%x:40", rand.Uint32()))
	req.Header.Set("Authorization", "Token "+site.Key)
	f.note("client sends %s %s %s", a.id, method, path)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		f.note("client got no answer to %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Heathkeel-Response-Stamp")
	b, err := io.ReadAll(resp.Body)
	a.body, a.err = string(b), err
	f.note("client got %d with stamp %s and %d bytes to %s, complete: %v", a.status, a.stamp, len(b), a.id, a.complete())
	return a
}
