// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

// Paths for callers and operators.
const (
	// PathAddress returns the hosts that a workspace's callers should use.
	PathAddress = "/v1/address"
	// PathCompletions accepts requests to engines in the usual completion format.
	PathCompletions = "/v1/completions"
	// PathCall is followed by the name of a service and the path to forward to it.
	PathCall = "/v1/call/"
	// PathOutcome is followed by an ID; it returns the outcome of that request.
	PathOutcome = "/v1/outcome/"
	// PathStreams is followed by an endpoint and an ID; it resumes a lost stream.
	PathStreams = "/v1/streams/"
	// PathExplain is followed by an ID; it explains the scheduler's decisions on
	// that request.
	PathExplain = "/v1/explain/"
	// PathStatus returns the state of the host and what it knows of other hosts.
	PathStatus = "/v1/status"
	// PathDrain starts a drain of the host.
	PathDrain = "/v1/drain"
)

// Headers of requests and of answers.
const (
	// HeaderID carries the request's ID.
	HeaderID = "Heathkeel-Request-Id"
	// HeaderWorkspace, HeaderService and HeaderTier select the settings of a request.
	HeaderWorkspace = "Heathkeel-Workspace"
	HeaderService   = "Heathkeel-Service"
	HeaderTier      = "Heathkeel-Tier"
	// HeaderResubmits carries the ID of an earlier attempt whose outcome is final.
	HeaderResubmits = "Heathkeel-Resubmits"
	// HeaderEndpoint carries the name of the endpoint that serves the request.
	HeaderEndpoint = "Heathkeel-Endpoint"
	// headerForwarded carries the name of the host that forwarded the request.
	headerForwarded = "Heathkeel-Forwarded"
)

// Paths that hosts use among themselves.
const (
	pathHeartbeat = "/peer/heartbeat"
	pathRecord    = "/peer/record"
	pathClose     = "/peer/close/"
	pathQuery     = "/peer/query/"
	pathLocal     = "/peer/local"
	pathHandover  = "/peer/handover"
	pathHead      = "/peer/settings/head"
	pathChunk     = "/peer/settings/chunk/"
)

// recordBody is a batch of IDs for a witness to record.
type recordBody struct {
	IDs       []string `json:"ids"`
	Endpoints []string `json:"endpoints"`
}

// recordAnswer is the answer to recordBody, with one once.Ack for each ID.
type recordAnswer struct {
	Acks []uint8 `json:"acks"`
}

// closeAnswer is the result of closing an ID at a witness: a once.Finding and the
// recorded endpoint, if there is one.
type closeAnswer struct {
	Finding  uint8  `json:"finding"`
	Endpoint string `json:"endpoint,omitempty"`
}
