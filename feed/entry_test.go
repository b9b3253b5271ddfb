// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
)

// countingStore counts the calls that a host makes for its entry.
type countingStore struct {
	Store
	lists, grants, puts, renewals int
	listsBeforeGrant              int // lists read before this host's entry was written
	expired                       bool
	value                         string
}

func (s *countingStore) Range(context.Context, string, bool) (Page, error) {
	s.lists++
	return Page{}, nil
}

func (s *countingStore) Grant(context.Context, time.Duration) (uint64, error) {
	if s.grants == 0 {
		s.listsBeforeGrant = s.lists
	}
	s.grants++
	s.expired = false
	return 1, nil
}

func (s *countingStore) Put(_ context.Context, _ string, value []byte, _ uint64) error {
	s.puts++
	s.value = string(value)
	return nil
}

func (s *countingStore) Renew(context.Context, uint64) error {
	s.renewals++
	if s.expired {
		return ErrLeaseExpired
	}
	return nil
}

// TestHostRegistryCalls counts the calls of one host in half a minute: the calls of all hosts together
// must not grow with their number, and a host that knows no other host must keep looking for them.
func TestHostRegistryCalls(t *testing.T) {
	cases := []struct {
		name                          string
		hosts                         int
		registers                     func(at time.Duration) bool
		lists, grants, puts, renewals int
	}{
		{"alone", 1, nil, 16, 1, 1, 14},
		{"few hosts", 6, nil, 4, 1, 1, 14},
		{"many hosts, this one keeps an entry", 300, nil, 1, 1, 1, 14},
		{"many hosts, this one keeps no entry", 300, func(time.Duration) bool { return false }, 1, 0, 0, 0},
		{"begins to keep an entry", 300, func(at time.Duration) bool { return at > 16*time.Second }, 1, 1, 1, 6},
		{"stops keeping an entry", 300, func(at time.Duration) bool { return at < 16*time.Second }, 1, 1, 1, 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				s := &countingStore{}
				e := &HostRegistry{
					Store: s, Prefix: "hosts/", Key: "hosts/a", TTL: 6 * time.Second, OnEntries: func([]Item) {}, Log: logr.Discard(),
					Value: func() []byte { return []byte("a") }, HostCount: func() int { return tc.hosts },
				}
				if tc.registers != nil {
					e.ShouldRegister = func() bool { return tc.registers(time.Since(start)) }
				}
				go e.Run(ctx)
				time.Sleep(30 * time.Second)
				if s.grants > 0 {
					must.GreaterEq(t, 1, s.listsBeforeGrant)
				}
				must.Eq(t, fmt.Sprint(tc.lists, tc.grants, tc.puts, tc.renewals), fmt.Sprint(s.lists, s.grants, s.puts, s.renewals))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestHostRegistryRewrites checks that an entry is written again when its value changed and when its
// lease expired.
func TestHostRegistryRewrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, value := &countingStore{}, "one"
		e := &HostRegistry{
			Store: s, Prefix: "hosts/", Key: "hosts/a", TTL: 6 * time.Second, OnEntries: func([]Item) {}, Log: logr.Discard(),
			Value: func() []byte { return []byte(value) }, HostCount: func() int { return 300 },
		}
		go e.Run(ctx)
		time.Sleep(4 * time.Second)
		value = "two"
		time.Sleep(3 * time.Second)
		must.EqOp(t, "two", s.value)
		must.EqOp(t, 1, s.grants)
		s.expired = true
		time.Sleep(3 * time.Second)
		must.EqOp(t, 2, s.grants)
		must.EqOp(t, 3, s.puts)
		cancel()
		synctest.Wait()
	})
}

func TestParseHostEntry(t *testing.T) {
	cases := []struct {
		name, value string
		want        HostEntry
	}{
		{"whole", string(HostEntry{Address: "10.0.0.1:7600", HostCount: 295}.Encode()), HostEntry{"10.0.0.1:7600", 295}},
		{"from a version that wrote only the address", "10.0.0.1:7600", HostEntry{"10.0.0.1:7600", 1}},
		{"no number", `{"address":"10.0.0.1:7600"}`, HostEntry{"10.0.0.1:7600", 1}},
		{"bad number", `{"address":"10.0.0.1:7600","hosts":-4}`, HostEntry{"10.0.0.1:7600", 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, ParseHostEntry([]byte(tc.value))) })
	}
}

// TestHostEntryIsWrittenInEachEra checks that a host writes its entry under a new lease when the store has come back from an older copy,
// which may lack the entry although the lease is there, and not again in the same era.
func TestHostEntryIsWrittenInEachEra(t *testing.T) {
	s, era := &countingStore{}, uint64(1)
	r := &HostRegistry{Store: s, Value: func() []byte { return []byte("x") }, Era: func() uint64 { return era }, TTL: 10 * time.Second, Log: logr.Discard()}
	for _, tc := range []struct {
		era    uint64
		grants int
	}{{1, 1}, {1, 1}, {2, 2}, {2, 2}, {4, 3}} {
		era = tc.era
		must.NoError(t, r.renew(context.Background()))
		must.EqOp(t, tc.grants, s.grants)
		must.EqOp(t, tc.grants, s.puts)
	}
}
