// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against demand that relays count twice or leave out, and against a host that counts its own
// demand among that of others.
func TestRelaysSumZoneDemand(t *testing.T) {
	demand := func(zone string, arrivals float64, waiting int) Words {
		return Words{Zones: ZoneDemands{zone: {"chat": {Arrivals: arrivals, Waiting: waiting, Hosts: 1}}, "b": {"code": {Running: 2}}}}
	}
	here, there := Relay{Host: "r1", Incarnation: 1}, Relay{Host: "r2", Incarnation: 1}
	here.ReceiveHeartbeat(0, &Heartbeat{Host: "h1", Incarnation: 1, Seq: 5, Words: demand("a", 10, 1)})
	here.ReceiveHeartbeat(0, &Heartbeat{Host: "h2", Incarnation: 1, Seq: 1, Words: demand("a", 20.5, 2)})
	there.ReceiveHeartbeat(0, &Heartbeat{Host: "h3", Incarnation: 1, Seq: 1, Words: demand("b", 7, 0)})
	partial := there.PartialDigest(0)
	partial.Seq = 1
	here.ReceivePartial(0, &partial)
	full := here.FullDigest(0)
	if got, want := full.Zones["a"]["chat"], (ZoneDemand{Arrivals: 30.5, Waiting: 3, Hosts: 2}); got != want {
		t.Errorf("zone a: %+v, want %+v", got, want)
	}
	if got, want := full.Zones["b"]["code"], (ZoneDemand{Running: 6}); got != want {
		t.Errorf("code in zone b: %+v, want %+v", got, want)
	}

	var sent history
	sent.add(&Heartbeat{Host: "h1", Seq: 5, Words: demand("a", 10, 1)})
	full.Echo = map[string]uint32{"h1": 5}
	full.Seq = 1
	u := uplink{host: "r1"}
	u.receive(0, &full, &sent)
	others, _ := u.peerLoads(time.Millisecond, &sent)
	if got, want := others.Zones["a"]["chat"], (ZoneDemand{Arrivals: 20.5, Waiting: 2, Hosts: 1}); got != want {
		t.Errorf("other hosts in zone a: %+v, want %+v", got, want)
	}
	if full.Zones["a"]["chat"].Hosts != 2 {
		t.Error("the digest was changed")
	}
}

// Guards against demand that costs hosts more than 3 KB a second: 4 zones and 6 services, in one
// heartbeat and one digest per interval.
func TestZoneDemandBytes(t *testing.T) {
	full := make(ZoneDemands)
	for z := range 4 {
		own := make(map[string]ZoneDemand)
		for s := range 6 {
			own[fmt.Sprintf("service-%d", s)] = ZoneDemand{Arrivals: math.Round(1000*math.Sin(float64(7*z+s+1))*0.5+5000) / 10, Waiting: 3 * s, Hosts: 19, Running: 20*s + z}
		}
		full[fmt.Sprintf("zone-%d", z)] = own
	}
	size := func(msg any) int {
		b, err := encode(msg)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	beat := size(&Heartbeat{Words: Words{Zones: full}}) - size(&Heartbeat{})
	digest := size(&Digest{Words: Words{Zones: full}}) - size(&Digest{})
	perSecond := (beat + digest) * int(time.Second/DefaultInterval)
	t.Logf("heartbeat %d bytes, digest %d bytes, %d bytes a second", beat, digest, perSecond)
	if perSecond >= 3000 {
		t.Errorf("%d bytes a second", perSecond)
	}
}
