// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quarantine keeps requests from endpoints that crash them: a request under which several endpoints have
// ended ("query of death") is refused for a time, at whichever host, under whichever attempt ID it comes again.
//
// A Fingerprint knows a request again. A Book holds the evidence of all hosts: which endpoints crashed under which
// requests, and which of those were answered since. Hosts tell each other all evidence while it is new, so that each
// of them comes to the same verdict by itself. What the verdict leaves open is bounded by a count: a request under which three endpoints ended is on trial, and each
// further send must be granted in its Record, which is kept where it outlasts all hosts. The package does no I/O and reads no clock; times are
// since the process's start, and ages where hosts tell them.
package quarantine
