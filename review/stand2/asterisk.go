// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/heathkeel/heathkeel/internal/site"
)

// asterisk is the case of a request for no route, in the form that names the whole server (RFC 9110, section 9.3.7).
func asterisk(f *fleet) (bool, error) {
	f.configure()
	if err := f.startAll(2); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // past ContactMs
	target := "/nowhere/"
	if f.trouble {
		target = "*"
	}
	broken := false
	for i := range 4 {
		status, stamp, err := f.options(f.hosts[i%len(f.hosts)], target, fmt.Sprintf("%016x", i+1))
		if err != nil {
			return false, err
		}
		broken = broken || (status >= 200 && status < 300 && stamp == "")
	}
	return broken, nil
}

// options sends an OPTIONS request with a target and returns the status and the runner's stamp.
func (f *fleet) options(h *host, target, id string) (status int, stamp string, err error) {
	c, err := net.Dial("tcp", h.front())
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, "", err
	}
	f.note("client sends %s OPTIONS %s", id, target)
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Deadline-Ms: 4000\r\nAuthorization: Token %s\r\n\r\n",
		target, site.HostName, id, site.Key); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	stamp = resp.Header.Get("Heathkeel-Response-Stamp")
	f.note("client got %d with stamp %q to %s", resp.StatusCode, stamp, id)
	return resp.StatusCode, stamp, nil
}
