// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"io"
	"net"
)

// rejection returns the answer of a request that the endpoint does not run, or "" if the fault is none that keeps it from running.
func (e *Endpoint) rejection(id string, f Fault) string {
	switch f {
	case Full, FullAgain:
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, e.leavingHeader())
	case MisdirectedAgain:
		return e.misdirected(id)
	}
	return ""
}

// misdirected returns the answer to a request for another instance.
func (e *Endpoint) misdirected(id string) string {
	return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nHeathkeel-Attempt-Id: %s\r\nHeathkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.Instance)
}

// repeatLater makes the endpoint send an answer once more in front of the next one on its connection.
func (e *Endpoint) repeatLater(c net.Conn, answer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late == nil {
		e.late = make(map[net.Conn]string)
	}
	e.late[c] = answer
}

// sendLate sends what is due in front of the next answer on a connection, if anything. An error recurs with the answer.
func (e *Endpoint) sendLate(c net.Conn) {
	e.mu.Lock()
	late, ok := e.late[c]
	delete(e.late, c)
	e.mu.Unlock()
	if ok {
		_, _ = io.WriteString(c, late)
	}
}
