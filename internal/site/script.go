// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Framing is how the head of an answer says where the body ends.
type Framing string

// Framings of an answer.
const (
	// ByConnection lets the body end with the connection.
	ByConnection Framing = "connection"
	ByLength     Framing = "length"
	ByChunks     Framing = "chunks"
)

// Ending is how an endpoint ends a connection.
type Ending string

// Endings of a connection.
const (
	// ByReset resets it at once.
	ByReset Ending = "reset"
	// ByClose closes it. The kernel resets it if bytes of the request were not read.
	ByClose Ending = "close"
	// InOrder closes the endpoint's side, reads the request to its end, and then closes the connection.
	InOrder Ending = "in order"
)

// Script is an answer that an endpoint gives before it has read the request's body.
type Script struct {
	// Status is the status code and reason, and Lines are further lines of the head, each with its end.
	Status, Lines string
	// Framing is that of Body, of which the first Sent bytes are sent.
	Framing Framing
	Body    string
	Sent    int
	// Read is the number of bytes of the request's body that are read before the connection is ended, and Ending how.
	Read   int64
	Ending Ending
}

// SetScript sets the answer to the requests whose fault is EarlyScript.
func (e *Endpoint) SetScript(s Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = s
}

// currentScript returns the script.
func (e *Endpoint) currentScript() Script {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.script
}

// text returns what is sent of the answer, behind the lines that all answers have.
func (s *Script) text() string {
	sent := s.Body[:s.Sent]
	switch s.Framing {
	case ByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", s.Lines, len(s.Body), sent)
	case ByChunks:
		text := s.Lines + "Transfer-Encoding: chunked\r\n\r\n"
		if s.Sent > 0 {
			text += fmt.Sprintf("%x\r\n%s\r\n", s.Sent, sent)
		}
		if s.Sent == len(s.Body) {
			text += "0\r\n\r\n"
		}
		return text
	default:
		return s.Lines + "\r\n" + sent
	}
}

// answerByScript answers a request by the script and ends the connection.
func (e *Endpoint) answerByScript(c *net.TCPConn, r *http.Request, id string) {
	s := e.currentScript()
	fmt.Fprint(c, e.responseHead(id, EarlyScript, s.Status)+"Connection: close\r\n"+s.text())
	_, _ = io.CopyN(io.Discard, r.Body, s.Read) // an error ends the connection, too
	time.Sleep(earlyPause)
	switch s.Ending {
	case ByReset:
		_ = c.SetLinger(0)
	case InOrder:
		_ = c.CloseWrite() // an error recurs below
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
