// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers exchanged with callers and endpoints.
type Headers struct {
	// AttemptID identifies a request; endpoints return it.
	AttemptID string
	// Deadline is the time in milliseconds that the sender waits.
	Deadline string
	// PromptParts lists the parts of a prompt in order, as ID:TOKENS separated by commas.
	PromptParts string
	// LastEvent is the number of the last event received.
	LastEvent string
	// Resumes is the ID of the request that brought the caller the first event of the stream that it resumes.
	Resumes string
	// ResponseStamp marks a response as the endpoint's own.
	ResponseStamp string
	// Workspace tells the endpoint for which workspace the request runs.
	Workspace string
	// ExpectInstance names the instance that is to run the request.
	ExpectInstance string
	// NotExecuted on a response says that the endpoint did not run the request.
	NotExecuted string
	// Tokens holds the tokens of the prompt and the maximum of the response, separated by a comma.
	Tokens string
	// LengthHint is the caller's estimate of the response's tokens.
	LengthHint string
	// Rate on a response is the number of requests per second that the endpoint takes from all hosts together.
	Rate string
	// Rejects on a response is the number of requests that the endpoint may reject within a second before it crashes.
	Rejects string
	// Load on a response is the load of the endpoint.
	Load string
	// Leaving on a response says that the endpoint leaves.
	Leaving string
	// Known are further response headers that mean nothing to the ingress.
	Known []string
	// KeyScheme precedes the key in Authorization.
	KeyScheme string
	// Reserved are headers that only the system may set; those set by callers are dropped.
	Reserved []string
}

// hopByHop are headers that concern a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes headers that concern a single connection.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// outgoing returns the header of a request to an endpoint.
func (n *Headers) outgoing(in http.Header) http.Header {
	h := in.Clone()
	removeHopByHop(h)
	h.Del("Authorization")
	h.Del(relayHeader)
	for _, name := range n.Reserved {
		h.Del(name)
	}
	return h
}
