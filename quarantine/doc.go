// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quarantine protects endpoints from requests that crash them ("queries of death"). A
// request under which several endpoints have crashed is refused for a time, at every host and under
// every attempt ID.
//
// A Fingerprint identifies a request. A Registry holds the evidence of all hosts: which endpoints
// crashed under which requests, and which of those requests were answered later. Hosts exchange new
// evidence, so that each of them reaches the same verdict on its own. Requests that the verdict
// does not decide are limited by a count: a request under which three endpoints crashed is on
// trial, and each further send must be granted in its Record, which is stored outside the hosts and
// survives the loss of all of them. The package does no I/O and reads no clock: times are durations
// since the start of the process, and hosts exchange ages.
package quarantine
