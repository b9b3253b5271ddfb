// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rawService is a service that answers each request with bytes of its own before it reads the request's body.
type rawService struct {
	answer string
	// next, unless it is empty, is sent behind answer again and again.
	next string
	// resets says that it then resets the connection, some time later.
	resets bool
}

// start starts the service at a loopback address and returns its base URL.
func (s *rawService) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return "http://" + l.Addr().String()
}

// serve answers one request.
func (s *rawService) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, s.answer); err != nil {
		return
	}
	if s.next != "" {
		s.sendEndless(c)
		return
	}
	if s.resets {
		time.Sleep(20 * time.Millisecond) // the other end has read the answer by then, and writes the body still
		_ = c.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // an error ends the connection, too
}

// sendEndless sends next until the connection is closed or endlessBytes were sent.
func (s *rawService) sendEndless(w io.Writer) {
	block := []byte(strings.Repeat(s.next, 1+32<<10/len(s.next)))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// callRaw sends a request with a body to the service and returns the body of its response, or the error of either.
func (s *rawService) callRaw(t *testing.T, bodyBytes int) (string, error) {
	service := Service{Base: s.start(t), Transport: NewServiceTransport()}
	resp, err := service.Send(t.Context(), PlainCall{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.NewReader(make([]byte, bodyBytes)), Length: int64(bodyBytes)})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestHeadsOfServices sends heads that no HTTP response has. Callers got them as answers.
func TestHeadsOfServices(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nok"
	cases := []struct {
		name, answer string
		valid        bool
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + length, false},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nok", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Note: a\r\n" + length, false},
		{"blank behind the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + length, false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + length, true},
		{"unknown status", "HTTP/1.1 799 Other\r\n" + length, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b, err := (&rawService{answer: tc.answer}).callRaw(t, 0)
			if tc.valid {
				must.NoError(t, err)
				must.EqOp(t, "ok", b)
				return
			}
			must.ErrorIs(t, err, ErrLost, must.Sprintf("got %q", b))
		})
	}
}

// TestHeadsOfEngines does the same for requests to engines: such a head does not say that the request was refused, and so may run elsewhere.
func TestHeadsOfEngines(t *testing.T) {
	cases := []struct {
		name, answer string
		err          error
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", ErrLost},
		{"status 042", "HTTP/1.1 042 Trouble\r\nContent-Length: 0\r\n\r\n", ErrLost},
		{"blank in a name", "HTTP/1.1 400 Bad Request\r\nX Note: a\r\nContent-Length: 0\r\n\r\n", ErrLost},
		{"refused", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", ErrRejected},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := rawService{answer: tc.answer}
			c := Client{Base: s.start(t), HTTP: &http.Client{Transport: NewEngineTransport(1)}}
			_, err := c.Generate(t.Context(), Call{ID: "a", Model: "m", Prompt: "p"})
			must.ErrorIs(t, err, tc.err)
			must.ErrorIs(t, c.Order(t.Context(), Order{}), tc.err)
		})
	}
}

// TestServiceResetsDuringUpload guards against parts of responses that are taken for whole ones, because the write of a long body was told
// of the reset in place of the read.
func TestServiceResetsDuringUpload(t *testing.T) {
	const uploadBytes = 16 << 20
	cases := []struct {
		name    string
		service rawService
		whole   bool
	}{
		{"part without a length, then reset", rawService{answer: "HTTP/1.1 200 OK\r\n\r\nhello", resets: true}, false},
		{"part with a length, then reset", rawService{answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", resets: true}, false},
		{"whole with a length, then reset", rawService{answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", resets: true}, true},
		{"without a length, ended in order", rawService{answer: "HTTP/1.1 200 OK\r\n\r\nhello"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for range 10 {
				b, err := tc.service.callRaw(t, uploadBytes)
				if !tc.whole {
					must.Error(t, err, must.Sprintf("got %q as whole", b))
					continue
				}
				must.NoError(t, err)
				must.EqOp(t, "hello", b)
			}
		})
	}
}
