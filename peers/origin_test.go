// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/origin"
)

// originAgent returns the agent of a host in a fleet of n hosts.
func originAgent(host, n int) *Agent {
	a := &Agent{Table: &Table{Host: fmt.Sprint("host-", host)}, Now: func() time.Duration { return time.Second }, Rand: rand.New(rand.NewPCG(1, 2))}
	a.Init()
	for i := range n {
		if i != host {
			a.Table.ReceiveHeartbeat(time.Second, &Heartbeat{Host: fmt.Sprint("host-", i), Incarnation: 1, Seq: 1, Info: HostInfo{Address: fmt.Sprint("address-", i), Zone: fmt.Sprint(i % 3), Ready: true}})
		}
	}
	return a
}

// TestWitnesses checks that any host of a fleet asks a host that was told of a stream, whichever host told it, that few are told in
// large fleets, and that the streams are spread over the hosts.
func TestWitnesses(t *testing.T) {
	for _, n := range []int{2, 6, 24, 85} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			agents := make([]*Agent, n)
			for i := range agents {
				agents[i] = originAgent(i, n)
			}
			told := make(map[string]int)
			for k := range origin.Key(200) {
				knows := map[string]bool{fmt.Sprint("host-", int(k)%n): true}
				for _, m := range agents[int(k)%n].witnesses(time.Second, k) {
					knows[m.Host] = true
					told[m.Host]++
				}
				must.LessEq(t, max(originWitnesses, fanout), len(knows)-1)
				for i, a := range agents {
					found := knows[fmt.Sprint("host-", i)]
					for _, m := range a.witnesses(time.Second, k) {
						found = found || knows[m.Host]
					}
					must.True(t, found)
				}
			}
			for _, times := range told {
				must.LessEq(t, 200, times)
			}
		})
	}
}

// TestOriginDatagrams checks that messages about streams survive the wire, and that a report to a host comes in datagrams of limited
// size.
func TestOriginDatagrams(t *testing.T) {
	for _, msg := range []any{
		&Origins{Host: "host-1", Report: origin.Report{Known: map[string]origin.Keys{"v1.1": {1, 2}}, Unknown: origin.Keys{3}}},
		&OriginQuery{Host: "host-1", Keys: origin.Keys{1, 1 << 63}},
	} {
		data, err := encode(msg)
		must.NoError(t, err)
		got, err := decode(data)
		must.NoError(t, err)
		must.Eq(t, msg, got)
	}
	keys := make(origin.Keys, maxOriginKeys)
	data, err := encode(&Origins{Host: "host-1", Report: origin.Report{Known: map[string]origin.Keys{"v1.1": keys}}})
	must.NoError(t, err)
	must.Less(t, maxDatagramSize, len(data))
}
