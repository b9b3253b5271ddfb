// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

// StoreCallCounts counts this host's calls to the store since its start.
type StoreCallCounts struct {
	// Answered, Refused and Unanswered count calls by outcome; unanswered ones were given up.
	Answered, Refused, Unanswered int64
	// SlowestMS is the longest time in which a call was answered, in milliseconds in which this process
	// ran, beyond the time for which the call was to wait.
	SlowestMS int64
	// Outages counts how often the store began to fail for this host.
	Outages int64
}
