// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
)

func TestEraOrdersRevisions(t *testing.T) {
	must.Eq(t, 7, InEra(0, 7))
	must.Less(t, InEra(2, 1), InEra(1, 1<<40))
	era, own := SplitEra(InEra(3, 99))
	must.Eq(t, 3, era)
	must.Eq(t, 99, own)
}

// numbered returns settings whose documents are the numbers of their versions.
func numbered() *Settings {
	return &Settings{
		Parse: func(b []byte) (*route.Document, error) {
			v, err := strconv.ParseInt(string(b), 10, 64)
			return &route.Document{Version: v}, err
		},
		OnChange: func(*route.Table) {}, Log: logr.Discard(), Now: func() time.Duration { return 10 * time.Second },
	}
}

// TestOlderCopyDoesNotSetVersionBack checks which version is in force after documents were read, in order, at revisions of several eras.
func TestOlderCopyDoesNotSetVersionBack(t *testing.T) {
	type read struct {
		version       string
		era, revision uint64
		want          int64
	}
	cases := []struct {
		name  string
		reads []read
	}{
		{"within an era the later write counts", []read{{"5", 1, 10, 5}, {"3", 1, 11, 3}, {"4", 1, 9, 3}}},
		{"an older copy", []read{{"5", 1, 10, 5}, {"3", 2, 4, 5}, {"6", 2, 5, 6}}},
		{"what was lost is written again in order", []read{{"5", 1, 10, 5}, {"3", 2, 4, 5}, {"4", 2, 5, 5}, {"5", 2, 6, 5}, {"4", 2, 7, 4}}},
		{"twice", []read{{"5", 1, 10, 5}, {"3", 2, 4, 5}, {"2", 3, 3, 5}, {"5", 3, 4, 5}, {"7", 3, 5, 7}}},
		{"an answer of the era before is late", []read{{"5", 2, 4, 5}, {"6", 1, 90, 5}}},
		{"a newer version with a number given out again", []read{{"5", 1, 10, 5}, {"6", 2, 10, 6}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := numbered()
			for _, r := range tc.reads {
				s.Offer([]byte(r.version), InEra(r.era, r.revision))
				must.Eq(t, r.want, s.Current().Version(), must.Sprint(r))
			}
		})
	}
}

// TestKeptVersionIsPassedOn checks that a host that read an older copy fetches the version that another host has kept, and does not take
// its own for proven by it, nor the other way round.
func TestKeptVersionIsPassedOn(t *testing.T) {
	keeper, starter := numbered(), numbered()
	keeper.Offer([]byte("5"), InEra(1, 10))
	for _, s := range []*Settings{keeper, starter} {
		s.Offer([]byte("3"), InEra(2, 4))
	}
	must.EqOp(t, keeper.Current().Revision, starter.Current().Revision)
	must.False(t, keeper.ReceiveProof(InEra(2, 4), starter.Current().Version(), 9*time.Second))
	_, known := keeper.Age.At(10 * time.Second)
	must.False(t, known)
	must.True(t, starter.ReceiveProof(InEra(2, 4), keeper.Current().Version(), 9*time.Second))
	_, known = starter.Age.At(10 * time.Second)
	must.False(t, known)
	starter.Offer(keeper.Current().Value, keeper.Current().Revision)
	must.Eq(t, 5, starter.Current().Version())
	must.False(t, starter.ReceiveProof(InEra(2, 4), 5, 9*time.Second))
	_, known = starter.Age.At(10 * time.Second)
	must.True(t, known)
}

// TestOlderCopyKeepsOrders checks which orders are in force when the store comes back from an older copy: those that were known stay while
// operators may write them again, and an order that is written again is the same one.
func TestOlderCopyKeepsOrders(t *testing.T) {
	const renewTime = 2 * time.Second
	now := 10 * time.Second
	s := numbered()
	s.Prefix, s.Key, s.Now = "op/", "op/config", func() time.Duration { return now }
	s.StoreHealth = &StoreHealth{Now: s.Now, LapseTimes: LapseTimes{RenewTime: renewTime}}
	order := func(key, value string, era, revision uint64) Item {
		return Item{Key: "op/" + key, Value: []byte(value), Revision: InEra(era, revision)}
	}
	keys := func() (out []string) {
		for _, o := range s.Orders().List {
			out = append(out, o.Key+" "+string(o.Value))
		}
		return out
	}
	s.readOrders([]Item{order("cancelled", "x", 1, 3), order("kept", "y", 1, 4)}, InEra(1, 4))
	s.applyOrderChanges([]Item{{Key: "op/cancelled", Deleted: true, Revision: InEra(1, 5)}, order("lost", "z", 1, 6)})
	known := []string{"op/kept y", "op/lost z"}
	must.Eq(t, known, keys())
	kept := s.Orders().List[0].Revision

	copied := []Item{order("cancelled", "x", 2, 3), order("kept", "y", 2, 4)}
	s.readOrders(copied, InEra(2, 4))
	must.Eq(t, known, keys())
	s.OfferOrders(Orders{List: []Order{{Key: "op/cancelled", Value: []byte("x"), Revision: InEra(2, 3)}}, Revision: InEra(2, 4)})
	must.Eq(t, known, keys())
	must.False(t, s.ordersAreDue())
	s.applyOrderChanges([]Item{order("lost", "z", 2, 5), order("new", "n", 2, 6)})
	must.Eq(t, append(known, "op/new n"), keys())

	now += renewTime
	must.True(t, s.ordersAreDue())
	s.readOrders([]Item{order("kept", "y", 2, 4), order("new", "n", 2, 6)}, InEra(2, 8))
	must.Eq(t, []string{"op/kept y", "op/new n"}, keys())
	must.EqOp(t, kept, s.Orders().List[0].Revision)
}

// TestRemovedEntriesOfAnOlderCopy checks which endpoints of a peer's list are known after lists of several eras.
func TestRemovedEntriesOfAnOlderCopy(t *testing.T) {
	type list struct {
		era, revision uint64
		endpoints     []string
	}
	cases := []struct {
		name  string
		lists []list
		want  []string
	}{
		{"an endpoint that left comes back with an older copy", []list{{1, 5, []string{"a", "b"}}, {1, 6, []string{"b"}}, {2, 3, []string{"a", "b"}}}, []string{"b"}},
		{"one that left and came back in the same era stays", []list{{1, 5, []string{"a", "b"}}, {1, 6, []string{"b"}}, {1, 7, []string{"a", "b"}}, {2, 3, []string{"a", "b"}}}, []string{"a", "b"}},
		{"one that came since the copy", []list{{1, 5, []string{"b"}}, {2, 3, []string{"b"}}, {2, 4, []string{"a", "b"}}}, []string{"a", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := func() time.Duration { return 10 * time.Second }
			e := &Endpoints{Now: now, StoreHealth: testHealth(now), OnChange: func([]Endpoint) {}, Log: logr.Discard(), Parse: parseEndpoint}
			e.Init()
			for _, l := range tc.lists {
				var offered []Endpoint
				for _, name := range l.endpoints {
					offered = append(offered, Endpoint{Instance: name})
				}
				e.Offer(EndpointList{Revision: InEra(l.era, l.revision), Endpoints: offered})
			}
			var got []string
			known, _ := e.List()
			for _, n := range known.Endpoints {
				got = append(got, n.Instance)
			}
			must.Eq(t, tc.want, got)
		})
	}
}
