// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// benchScene starts one host with streams of n events that come at once.
func benchScene(b *testing.B, n int) *Site {
	b.Helper()
	s := &Site{Log: logr.Discard()}
	must.NoError(b, s.Start())
	b.Cleanup(s.Stop)
	c := Example()
	c.Tenants[0].PerS, c.Tenants[0].Burst = 1<<40, 1<<40
	s.Store.Put(platform.KeyConfig, c)
	_, _, err := s.AddExampleEndpoints(n, 0)
	must.NoError(b, err)
	_, err = s.AddHost()
	must.NoError(b, err)
	for Do(s.Hosts[0].Boot.Front, Call{Path: "/draft/x", Key: Key, ID: "warm", Body: "b"}).Status != 200 {
	}
	return s
}

// BenchmarkRequest is a request that is no stream, with caller, host and endpoint in one process.
func BenchmarkRequest(b *testing.B) {
	s := benchScene(b, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if a := Do(s.Hosts[0].Boot.Front, Call{Path: "/ask/x", Key: Key, ID: fmt.Sprint("b", i)}); a.Status != 200 {
			b.Fatal(a.Status)
		}
	}
}

// BenchmarkStream is a stream by its number of events; the difference between two
// sizes, by the number of events, is the cost of one at caller, host and endpoint.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := benchScene(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if a := Do(s.Hosts[0].Boot.Front, Call{Path: "/draft/x", Key: Key, ID: fmt.Sprint("b", i), Tokens: "10,100"}); a.Status != 200 || !a.Complete {
					b.Fatal(a.Status)
				}
			}
		})
	}
}
