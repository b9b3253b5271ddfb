// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/origin"
)

// TestHoldsOfUnrecordedVersions checks at which versions no resumable stream may begin, and for how long.
func TestHoldsOfUnrecordedVersions(t *testing.T) {
	v1, v2 := serviceVersion{"s", "v1"}, serviceVersion{"s", "v2"}
	set := func(versions ...serviceVersion) map[serviceVersion]bool {
		m := make(map[serviceVersion]bool)
		for _, v := range versions {
			m[v] = true
		}
		return m
	}
	cases := []struct {
		name     string
		unread   bool
		onRecord map[serviceVersion]bool
		inUse    map[serviceVersion]bool
		after    time.Duration
		held     map[serviceVersion]bool
	}{
		{"all on record", false, set(v1, v2), set(v1, v2), 0, set()},
		{"a new version", false, set(v1), set(v1, v2), 0, set(v2)},
		{"a new version, after long", false, set(v1), set(v1, v2), maxHold, set()},
		{"a new version alone", false, set(v1), set(v2), 0, set()},
		{"no record", false, set(), set(v1), 0, set(v1)},
		{"no record, after long", false, set(), set(v1), maxHold, set()},
		{"records not read", true, set(), set(v1), 0, set(v1)},
		{"records not read, after a while", true, set(), set(v1), maxUnreadHold, set()},
		{"another service's record", false, set(serviceVersion{"t", "v1"}), set(v1), 0, set(v1)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := recordedVersions{onRecord: tc.onRecord, read: !tc.unread}
			r.update(0, tc.inUse)
			r.update(tc.after, tc.inUse)
			must.MapLen(t, len(tc.held), r.held)
			for v := range tc.held {
				must.True(t, r.isHeld(v.service, v.version))
			}
		})
	}
}

// TestHostsWithoutRecordsProveNothing checks that a host does not answer another one that it does not know a stream before it has read the
// records of versions, which may name one that it has not listed.
func TestHostsWithoutRecordsProveNothing(t *testing.T) {
	s := originServer("v1")
	unknown := origin.Keys{4711}
	must.Len(t, 1, s.LookUpOrigins(unknown).Unknown)
	s.DropVersionsRecords()
	must.SliceEmpty(t, s.LookUpOrigins(unknown).Unknown)
}
