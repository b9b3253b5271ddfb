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

	"github.com/heathkeel/heathkeel/internal/jsoncall"
	"github.com/heathkeel/heathkeel/internal/respcheck"
	"github.com/heathkeel/heathkeel/internal/sticky"
)

// Service is a plain service at an address.
type Service struct {
	// Base is the base URL of the service, such as "http://127.0.0.1:9100".
	Base string
	// Transport sends the requests. It must not reuse connections: a transport that does
	// may silently send a request twice.
	Transport http.RoundTripper
}

// NewEngineTransport returns a transport for engines that keeps up to maxIdle idle connections to each.
func NewEngineTransport(maxIdle int) *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true, MaxResponseHeaderBytes: jsoncall.MaxHeadBytes}
}

// NewServiceTransport returns a transport that opens a new connection for each request.
func NewServiceTransport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, Proxy: nil, MaxResponseHeaderBytes: jsoncall.MaxHeadBytes, DialContext: dialSticky,
	}
}

// dialSticky opens a connection that reports a reset to its reads, too.
func dialSticky(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return sticky.New(c), nil
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes the headers that apply to one connection only.
func DropHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// PlainCall is a call to a plain service.
type PlainCall struct {
	// Method and Path are forwarded; Path includes the query.
	Method, Path string
	// Header is forwarded without hop-by-hop headers; it is not modified.
	Header http.Header
	// Body is the content of Length bytes; a Length of -1 means that it is unknown.
	Body   io.Reader
	Length int64
}

// Send sends the call. ErrNotSent means that no byte was sent, ErrLost that the call may
// have run and has no valid response. The caller must close the body of the response.
func (s *Service) Send(ctx context.Context, call PlainCall) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.Base+call.Path, call.Body)
	if err != nil {
		return nil, ErrNotSent
	}
	req.Header = call.Header.Clone()
	DropHopHeaders(req.Header)
	req.ContentLength = call.Length
	resp, err := s.Transport.RoundTrip(req)
	if err == nil && respcheck.Head(resp) != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, ErrLost
	}
	if err == nil {
		DropHopHeaders(resp.Header)
		return resp, nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return nil, ErrNotSent
	}
	return nil, ErrLost
}

// Report returns the load report of the service.
func (s *Service) Report(ctx context.Context) (Report, error) {
	c := Client{Base: s.Base, HTTP: &http.Client{Transport: s.Transport}}
	return c.Report(ctx, 0)
}
