// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import "testing"

// invalidHeads returns the cases of answers whose head is not one of HTTP: none reaches a caller, nor does what follows it.
func invalidHeads() (cases []endpointFaultCase) {
	for _, f := range []Fault{ZeroStatus, ZeroStatusFirst, BlankName, BlankLength, BlankEncoding} {
		cases = append(cases, []endpointFaultCase{
			{f, 9, "/push/a", 502, 1}, {f, 9, "/ask/a", 502, 2}, {f, 9, "/draft/a", 502, 1}, {f, 9, "/review/a", 502, 2},
			{f, 1, "/push/a", 502, 1}, {f, 1, "/ask/a", 200, 2},
		}...)
	}
	return cases
}

// TestInvalidHeads lets endpoints answer with heads that are not those of HTTP.
func TestInvalidHeads(t *testing.T) {
	s := startTestSite(t, 1)
	s.testEndpointFaults(t, invalidHeads())
}

// TestRelayedInvalidHeads does the same by another host.
func TestRelayedInvalidHeads(t *testing.T) {
	s := startCutOff(t, 2)
	s.testEndpointFaults(t, invalidHeads())
}
