// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that callers and endpoints speak.
type Headers struct {
	// AttemptID names a request; endpoints give it back.
	AttemptID string
	// Deadline is the time in milliseconds that the sender waits.
	Deadline string
	// PromptParts names the parts of a prompt in order, as ID:TOKENS by commas.
	PromptParts string
	// LastEvent is the number of the last event received.
	LastEvent string
	// ResponseStamp marks an endpoint's answer as its own.
	ResponseStamp string
	// Workspace tells the endpoint for whom the request runs.
	Workspace string
	// ExpectInstance names the instance that is to run the request.
	ExpectInstance string
	// NotExecuted on an answer says that the endpoint did not run the request.
	NotExecuted string
	// Tokens holds the prompt's tokens and the most of the answer, by a comma.
	Tokens string
	// LengthHint is the caller's guess of the answer's tokens.
	LengthHint string
	// KeyScheme goes before the key in Authorization.
	KeyScheme string
	// Reserved are headers that only the system may set; callers' ones are dropped.
	Reserved []string
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes what concerns one connection only.
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

// outgoing makes the header of a request for an endpoint.
func (n *Headers) outgoing(in http.Header) http.Header {
	h := in.Clone()
	removeHopByHop(h)
	h.Del("Authorization")
	for _, name := range n.Reserved {
		h.Del(name)
	}
	return h
}
