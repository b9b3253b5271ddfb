// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// Service is a plain service behind an address.
type Service struct {
	// Base is the service's address, such as "http://127.0.0.1:9100".
	Base string
	// Transport does the calls; it must not reuse connections, because a
	// transport that does may send a request twice without telling.
	Transport http.RoundTripper
}

// NewServiceTransport returns a transport that opens a connection for each call.
func NewServiceTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, Proxy: nil}
}

// hopHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes the headers that concern one connection only.
func DropHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// PlainCall is a call to a plain service.
type PlainCall struct {
	// Method and Path are passed on; Path includes the query.
	Method, Path string
	// Header is passed on without hop-by-hop headers; it is not changed.
	Header http.Header
	// Body is the content, of the given length in bytes, or -1 if not known.
	Body   io.Reader
	Length int64
}

// Send sends the call: ErrNotSent means that no byte went out, ErrLost that it
// may have run. The body of the response must be closed.
func (s *Service) Send(ctx context.Context, call PlainCall) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.Base+call.Path, call.Body)
	if err != nil {
		return nil, ErrNotSent
	}
	req.Header = call.Header.Clone()
	DropHopHeaders(req.Header)
	req.ContentLength = call.Length
	resp, err := s.Transport.RoundTrip(req)
	if err == nil {
		DropHopHeaders(resp.Header)
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, ErrNotSent
	}
	return nil, ErrLost
}

// Report returns the service's load report.
func (s *Service) Report(ctx context.Context) (Report, error) {
	c := Client{Base: s.Base, HTTP: &http.Client{Transport: s.Transport}}
	return c.Report(ctx, 0)
}
