// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

// Paths for callers and operators.
const (
	// PathAddress answers which hosts to use.
	PathAddress = "/v1/address"
	// PathCompletions takes requests to engines in the customary completion format.
	PathCompletions = "/v1/completions"
	// PathCall is followed by a service's name and the path to pass on.
	PathCall = "/v1/call/"
	// PathOutcome is followed by an ID: what became of that request.
	PathOutcome = "/v1/outcome/"
	// PathStreams is followed by endpoint and ID: resumes a lost stream.
	PathStreams = "/v1/streams/"
	// PathExplain is followed by an ID: how the request was decided.
	PathExplain = "/v1/explain/"
	// PathStatus tells the host's state and what it knows of others.
	PathStatus = "/v1/status"
	// PathDrain makes the host leave.
	PathDrain = "/v1/drain"
)

// Headers of requests and answers.
const (
	// HeaderID carries the request's ID.
	HeaderID = "Heathkeel-Request-Id"
	// HeaderWorkspace, HeaderService and HeaderTier say what a request belongs to.
	HeaderWorkspace = "Heathkeel-Workspace"
	HeaderService   = "Heathkeel-Service"
	HeaderTier      = "Heathkeel-Tier"
	// HeaderResubmits names the ID of an earlier try whose outcome is settled.
	HeaderResubmits = "Heathkeel-Resubmits"
	// HeaderEndpoint names the endpoint that serves the request.
	HeaderEndpoint = "Heathkeel-Endpoint"
	// headerForwarded marks a request that another host passed on.
	headerForwarded = "Heathkeel-Forwarded"
)

// Paths between hosts.
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

// recordAnswer holds one acknowledgement for each ID of a batch.
type recordAnswer struct {
	Acks []uint8 `json:"acks"`
}

// closeAnswer is a witness's finding.
type closeAnswer struct {
	Finding  uint8  `json:"finding"`
	Endpoint string `json:"endpoint,omitempty"`
}
