// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/once"
)

func TestSet(t *testing.T) {
	hosts := hostsOf(90)
	for i := range hosts {
		hosts[i].Region = fmt.Sprint("r", i%3)
	}
	cases := []struct {
		region string
		k      int
		size   int
		zones  int
	}{{"r0", 3, 3, 3}, {"r0", 7, 7, 3}, {"r0", 100, 30, 3}, {"none", 3, 3, 3}, {"r1", 1, 1, 1}}
	for _, c := range cases {
		set := SelectHosts("w", c.region, hosts, c.k)
		must.Len(t, c.size, set, must.Sprint(c))
		zones, names := map[string]int{}, map[string]bool{}
		for _, h := range set {
			zones[h.Zone]++
			names[h.Name] = true
			if c.region != "none" {
				must.Eq(t, c.region, h.Region)
			}
		}
		must.Eq(t, c.zones, len(zones), must.Sprint(c))
		must.Eq(t, c.size, len(names))
	}
	must.Len(t, 0, SelectHosts("w", "r0", nil, 3))
	// The order in which hosts are known does not matter.
	shuffled := append([]Host(nil), hosts...)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	must.Eq(t, SelectHosts("w", "r0", hosts, 5), SelectHosts("w", "r0", shuffled, 5))
}

func TestOrderPutsTheOwnZoneFirst(t *testing.T) {
	set := SelectHosts("w", "", hostsOf(90), 5)
	zone := set[3].Zone
	OrderForZone(set, zone, rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, zone, set[0].Zone)
}

func TestPickWitness(t *testing.T) {
	h := func(name, zone, region string) Host {
		return Host{Name: name, Zone: zone, Region: region, Incarnation: once.Incarnation(name[0])}
	}
	owner := h("a", "z1", "r1")
	cases := []struct {
		name string
		self Host
		live []Host
		want string
	}{
		{"self in another zone", h("b", "z2", "r1"), []Host{owner}, "b"},
		{"another zone of the region", h("c", "z1", "r1"), []Host{owner, h("c", "z1", "r1"), h("d", "z2", "r1"), h("e", "z9", "r2")}, "d"},
		{"another region", h("c", "z1", "r1"), []Host{owner, h("c", "z1", "r1"), h("e", "z9", "r2")}, "e"},
		{"the own zone at last", owner, []Host{owner, h("c", "z1", "r1")}, "c"},
		{"nobody", owner, []Host{owner}, ""},
	}
	for _, c := range cases {
		got, ok := PickWitness(c.self, owner, c.live, rand.New(rand.NewPCG(1, 1)))
		must.Eq(t, c.want, got.Name, must.Sprint(c.name))
		must.Eq(t, c.want != "", ok, must.Sprint(c.name))
	}
}

func TestNeighborsWatchEverybody(t *testing.T) {
	for _, n := range []int{2, 3, 7, 90, 300} {
		hosts := hostsOf(n)
		watched := map[string]int{}
		for _, h := range hosts {
			out := Neighbors(h, hosts, DefaultFanout)
			must.LessEq(t, DefaultFanout, len(out))
			for _, o := range out {
				must.NotEq(t, h.Name, o.Name)
				watched[o.Name]++
			}
		}
		must.Eq(t, n, len(watched), must.Sprint(n))
	}
}
