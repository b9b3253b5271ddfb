// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/places"
)

// fullBeat is a heartbeat with n hosts and endpoints.
func fullBeat(n int) *Heartbeat {
	b := &Heartbeat{
		Host: "edge-a-1", Incarnation: 1 << 50, Seq: 7, Echo: map[string]uint32{},
		Words: Words{Load: map[string]Load{}, Used: map[string]float64{"w": 1234567}, Settings: Stamp{Revision: 9, AgeMS: 300}},
	}
	for i := range n {
		b.Echo[fmt.Sprintf("edge-a-%d", i)] = uint32(i)
		b.Known = append(b.Known, KnownHost{Host: fmt.Sprintf("edge-a-%d", i), Info: HostInfo{Address: fmt.Sprintf("10.0.0.%d:7600", i)}})
		b.Load[fmt.Sprintf("i-%08x", i*7919)] = Load{Running: i, Prefill: i * 100, Step: 2700}
	}
	return b
}

func TestCodec(t *testing.T) {
	b := fullBeat(22)
	data, err := encode(b)
	must.NoError(t, err)
	got, err := decode(data)
	must.NoError(t, err)
	must.Eq(t, any(b), got)
	u := &Update{Host: "edge-a-1", Incarnation: 1 << 50, LoadSeq: 9, Load: b.Load, Waiting: map[string][]int{"s": {0, 3}}}
	text, err := encode(u)
	must.NoError(t, err)
	got, err = decode(text)
	must.NoError(t, err)
	must.Eq(t, any(u), got)
	for _, bad := range [][]byte{nil, []byte("{}"), data[:len(data)/2], data[1:], text[:len(text)/2], {kindUpdate}, bytes.Repeat([]byte{0xff}, 100)} {
		_, err := decode(bad)
		must.Error(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encode(fullBeat(3))
	must.NoError(f, err)
	f.Add(data)
	text, err := encode(&Update{Host: "h", LoadSeq: 1, Load: map[string]Load{"e": {Running: 1}}})
	must.NoError(f, err)
	f.Add(text)
	for _, msg := range []any{
		&SlotRequests{Host: "h", Incarnation: 1, Seq: 2, Requests: map[string]places.Request{"e": {Running: 1, Rank: -1, Returned: true}}},
		&Grants{Host: "h", To: 1, Grants: map[string]places.Grant{"e": {Slots: 1, Running: 3}}},
	} {
		data, err := encode(msg)
		must.NoError(f, err)
		got, err := decode(data)
		must.NoError(f, err)
		must.Eq(f, msg, got)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := &Table{Host: "x"}
		msg, err := decode(data)
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *Heartbeat:
			table.ReceiveHeartbeat(0, msg)
		case *Update:
			table.ReceiveUpdate(msg)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{6, 22, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			beat := fullBeat(n)
			b.ReportAllocs()
			for b.Loop() {
				data, err := encode(beat)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
