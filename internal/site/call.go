// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	// Path, Key, Body and Tokens are what is sent; an empty Key sends none.
	Path, Key, Body, Tokens string
	// ID is the request's name.
	ID string
	// Deadline is the time in milliseconds that the caller waits; 0 sends none.
	Deadline int
	// Header is sent besides.
	Header http.Header
}

// Answer is what came back.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	// Header and Body are what came; Whole says that the body ended well.
	Header   http.Header
	Body     string
	Complete bool
}

// Do sends a request to a host on a new connection.
func Do(address string, c Call) Answer {
	method, body := http.MethodGet, io.Reader(nil)
	if c.Body != "" {
		method, body = http.MethodPost, strings.NewReader(c.Body)
	}
	req, err := http.NewRequest(method, "http://"+address+c.Path, body)
	if err != nil {
		return Answer{}
	}
	req.Host = HostName
	for k, v := range c.Header {
		req.Header[k] = v
	}
	if c.ID != "" {
		req.Header.Set("Heathkeel-Attempt-Id", c.ID)
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Token "+c.Key)
	}
	if c.Tokens != "" {
		req.Header.Set("Heathkeel-Token-Count", c.Tokens)
	}
	if c.Deadline > 0 {
		req.Header.Set("Heathkeel-Deadline-Ms", fmt.Sprint(c.Deadline))
	}
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := (&http.Client{Transport: t, Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(b), Complete: err == nil}
}

// Curl is a line that sends a request for a stream to a host.
func Curl(address string) string {
	return fmt.Sprintf("curl -N http://%s/review/1 -H 'Host: %s' -H 'Authorization: Token %s' -H 'Heathkeel-Attempt-Id: 1' -H 'Heathkeel-Token-Count: 20,30' -d 'Hello'",
		address, HostName, Key)
}
